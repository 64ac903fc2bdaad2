#include "samphirebridge/transport/grpclifetime.h"

#include <grpc/grpc.h>

namespace samphirebridge::transport
{

GrpcLifetime::GrpcLifetime()
{
    grpc_init();
}

GrpcLifetime::~GrpcLifetime()
{
    grpc_shutdown_blocking();
}

} // namespace samphirebridge::transport
