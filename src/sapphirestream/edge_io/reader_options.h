// How the collections of the store are read, as the settings have it.
#ifndef SAPPHIRESTREAM_EDGE_IO_READER_OPTIONS_H_
#define SAPPHIRESTREAM_EDGE_IO_READER_OPTIONS_H_

#include "sapphirestream/edge_io/edge_settings.h"
#include "sapphirestream/store/collection_reader_options.h"

namespace sapphirestream {

[[nodiscard]] CollectionReaderOptions TargetOptions(
    const EdgeSettings& settings);
[[nodiscard]] CollectionReaderOptions RouteOptions(
    const EdgeSettings& settings);
[[nodiscard]] CollectionReaderOptions EvacuationOptions(
    const EdgeSettings& settings);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_READER_OPTIONS_H_
