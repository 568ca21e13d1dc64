// Reads a cpprestsdk stream piece by piece without holding a thread.

#pragma once

#include <cpprest/streams.h>

#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <vector>

namespace peridot {

/** Keeps itself alive until the end of the stream. */
class BodyReader : public std::enable_shared_from_this<BodyReader> {
public:
    /** Takes a piece; returns false to stop reading, in which case no further call follows. */
    using PieceHandler = std::function<bool(const std::uint8_t* data, std::size_t size)>;
    /** Called at the end of the stream, or with the error that ended it. */
    using EndHandler = std::function<void(std::exception_ptr)>;

    static void read(const concurrency::streams::istream&, PieceHandler, EndHandler);

    BodyReader(const concurrency::streams::istream&, PieceHandler, EndHandler);

private:
    void readNext();
    void handle(const pplx::task<std::size_t>&);

    concurrency::streams::istream m_stream;
    PieceHandler m_handlePiece;
    EndHandler m_handleEnd;
    std::vector<std::uint8_t> m_piece;
};

}
