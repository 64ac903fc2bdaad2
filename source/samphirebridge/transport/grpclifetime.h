// Keeps the gRPC library up.
#pragma once

namespace samphirebridge::transport
{

// While one lives, gRPC is not shut down. The end of the last one waits until gRPC's own threads
// are done: otherwise they may still run while the process takes down what they use. Not to be
// ended on a thread of gRPC's.
class GrpcLifetime
{
public:
    GrpcLifetime();
    ~GrpcLifetime();
    GrpcLifetime(const GrpcLifetime &) = delete;
    GrpcLifetime &operator=(const GrpcLifetime &) = delete;
};

} // namespace samphirebridge::transport
