// Which status codes an answer may have.
#pragma once

namespace samphirebridge::http
{

inline constexpr int FirstInterimStatus = 100;
inline constexpr int FirstFinalStatus = 200;
inline constexpr int EndOfFinalStatus = 600; // The first number above all final ones.
inline constexpr int StatusDigits = 3;

// Tells whether the status ends an answer.
constexpr bool isFinalStatus(int status)
{
    return status >= FirstFinalStatus && status < EndOfFinalStatus;
}

// Tells whether the status says that the request succeeded.
constexpr bool isSuccessStatus(int status)
{
    constexpr int FirstRedirect = 300;
    return status >= FirstFinalStatus && status < FirstRedirect;
}

// Tells whether the status is that of an interim answer which may come unasked. 101 may not: no
// request asks to switch protocols.
constexpr bool isInterimStatus(int status)
{
    constexpr int SwitchingProtocols = 101;
    return status >= FirstInterimStatus && status < FirstFinalStatus
           && status != SwitchingProtocols;
}

} // namespace samphirebridge::http
