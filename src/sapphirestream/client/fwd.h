// Forward declarations of module client.
#ifndef SAPPHIRESTREAM_CLIENT_FWD_H_
#define SAPPHIRESTREAM_CLIENT_FWD_H_

namespace sapphirestream {

class InstanceClient;
class SleepClock;
class Transport;
struct ClientOptions;
struct Command;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_FWD_H_
