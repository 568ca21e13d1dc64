// Writes the log lines of all instances of a run to one file, with the virtual time.

#pragma once

#include "EventLoop.h"

#include "base/EventLog.h"

#include <fstream>
#include <string>

namespace peridot::trial {

class FileEventLog final : public EventLog {
public:
    FileEventLog(const std::string& path, std::string instance, const EventLoop& loop)
        : m_file(path, std::ios::app)
        , m_instance(std::move(instance))
        , m_loop(loop)
    {
    }

    bool isEnabled(LogLevel) const noexcept override { return true; }
    void write(LogLevel, const LogLine& line) override
    {
        m_file << "at_s=" << toSeconds(m_loop.now()) << " instance=" << m_instance << ' ' << line.text() << std::endl;
    }

private:
    std::ofstream m_file;
    std::string m_instance;
    const EventLoop& m_loop;
};

}
