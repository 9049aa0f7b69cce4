// Forward declarations of module domain.
#ifndef SAPPHIRESTREAM_DOMAIN_FWD_H_
#define SAPPHIRESTREAM_DOMAIN_FWD_H_

#include <cstdint>

namespace sapphirestream {

enum class MemberState : std::uint8_t;
struct Member;
class MemberView;
class DomainSink;
class DecisionAuthority;
class ConfigBody;
class ConfigHistory;
class Dissemination;
class Membership;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_FWD_H_
