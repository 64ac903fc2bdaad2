// Keeps the gRPC library initialised.
#pragma once

namespace samphirebridge::transport
{

// gRPC is not shut down while an object of this class exists. The destructor of the last one blocks
// until gRPC's own threads have ended: otherwise they may still run while the process destroys
// objects that they use. Must not be destroyed on one of gRPC's threads.
class GrpcLifetime
{
public:
    GrpcLifetime();
    ~GrpcLifetime();
    GrpcLifetime(const GrpcLifetime &) = delete;
    GrpcLifetime &operator=(const GrpcLifetime &) = delete;
};

} // namespace samphirebridge::transport
