#include "BodyReader.h"

namespace peridot {

namespace {

    constexpr std::size_t pieceBytes = 16'384;

}

BodyReader::BodyReader(const concurrency::streams::istream& stream, PieceHandler handlePiece, EndHandler handleEnd)
    : m_stream(stream)
    , m_handlePiece(std::move(handlePiece))
    , m_handleEnd(std::move(handleEnd))
    , m_piece(pieceBytes)
{
}

void BodyReader::read(const concurrency::streams::istream& stream, PieceHandler handlePiece, EndHandler handleEnd)
{
    std::make_shared<BodyReader>(stream, std::move(handlePiece), std::move(handleEnd))->readNext();
}

void BodyReader::readNext()
{
    try {
        // Each piece starts a new continuation instead of nesting tasks, so that long bodies don't build long chains.
        m_stream.streambuf()
            .getn(m_piece.data(), m_piece.size())
            .then([self = shared_from_this()](const pplx::task<std::size_t>& task) { self->handle(task); });
    } catch (...) {
        m_handleEnd(std::current_exception());
    }
}

void BodyReader::handle(const pplx::task<std::size_t>& task)
{
    std::size_t count = 0;
    try {
        count = task.get();
        // A stream that was closed with an error may report its end first.
        if (count == 0 && m_stream.streambuf().exception())
            std::rethrow_exception(m_stream.streambuf().exception());
    } catch (...) {
        m_handleEnd(std::current_exception());
        return;
    }
    if (count == 0) {
        m_handleEnd(nullptr);
        return;
    }
    if (m_handlePiece(m_piece.data(), count))
        readNext();
}

}
