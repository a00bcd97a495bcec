// A small blocking HTTP/1.1 server and client for the stand-ins of this review.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stand {

using clock_type = std::chrono::steady_clock;

struct address
{
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct response
{
    int status = 200;
    std::string body = "{}";
    // The connection returns nothing further, and stays open.
    bool is_lost = false;
};

inline std::string lower(std::string text)
{
    for (auto& each : text)
        each =
            static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
    return text;
}

inline std::string percent_decoded(std::string const& text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            out += static_cast<char>(
                std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            out += text[at];
        }
    }
    return out;
}

inline sockaddr_in socket_address(address const& where)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.ip.c_str(), &to.sin_addr);
    return to;
}

// Reads one message; false at the end of the connection or after the timeout.
inline bool read_message(
    int from, std::string& buffer, std::string& first_line,
    std::map<std::string, std::string>& headers, std::string& body,
    clock_type::time_point until)
{
    auto const fill = [&] {
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - clock_type::now());
        if (left.count() <= 0)
            return false;
        pollfd waits{from, POLLIN, 0};
        if (::poll(&waits, 1, static_cast<int>(left.count())) <= 0)
            return false;
        char bytes[65536];
        auto const got = ::recv(from, bytes, sizeof bytes, 0);
        if (got <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill())
            return false;
    }
    headers.clear();
    std::size_t at = buffer.find("\r\n");
    first_line = buffer.substr(0, at);
    while (at < end) {
        auto const begin = at + 2;
        at = buffer.find("\r\n", begin);
        auto const colon = buffer.find(':', begin);
        if (colon == std::string::npos || colon > at)
            continue;
        auto value = buffer.substr(colon + 1, at - colon - 1);
        value.erase(0, value.find_first_not_of(' '));
        headers[lower(buffer.substr(begin, colon - begin))] = value;
    }
    auto const length = headers.count("content-length") != 0
                            ? std::stoul(headers["content-length"])
                            : 0UL;
    while (buffer.size() < end + 4 + length) {
        if (!fill())
            return false;
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline bool send_all(int to, std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        auto const now =
            ::send(to, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (now <= 0)
            return false;
        sent += static_cast<std::size_t>(now);
    }
    return true;
}

// Serves each connection in a thread of its own, so that a handler may wait.
class server
{
public:
    using handler = std::function<response(request const&)>;

    bool listen(address const& where, handler on_request)
    {
        handler_ = std::move(on_request);
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto const to = socket_address(where);
        if (::bind(
                listener_, reinterpret_cast<sockaddr const*>(&to), sizeof to) !=
                0 ||
            ::listen(listener_, 128) != 0) {
            ::close(listener_);
            return false;
        }
        std::thread([this] { accept_all(); }).detach();
        return true;
    }

private:
    void accept_all()
    {
        for (;;) {
            int const accepted =
                ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            int const on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, accepted] { serve(accepted); }).detach();
        }
    }

    void serve(int connection)
    {
        std::string buffer;
        std::string line;
        request got;
        auto const idle = std::chrono::seconds(300);
        while (read_message(
            connection, buffer, line, got.headers, got.body,
            clock_type::now() + idle)) {
            auto const space = line.find(' ');
            auto const target =
                line.substr(space + 1, line.find(' ', space + 1) - space - 1);
            got.method = line.substr(0, space);
            read_target(target, got);
            response answer;
            try {
                answer = handler_(got);
            } catch (std::exception const&) {
                answer = {400, "{}", false};
            }
            if (answer.is_lost) {
                // Nothing more comes; waits until the peer gives up.
                char byte = 0;
                while (::recv(connection, &byte, 1, 0) > 0) {
                }
                break;
            }
            auto const head =
                "HTTP/1.1 " + std::to_string(answer.status) +
                " X\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(answer.body.size()) + "\r\n\r\n";
            if (!send_all(connection, head + answer.body))
                break;
        }
        ::close(connection);
    }

    static void read_target(std::string const& target, request& into)
    {
        into.query.clear();
        auto const mark = target.find('?');
        into.path = percent_decoded(target.substr(0, mark));
        if (mark == std::string::npos)
            return;
        std::size_t at = mark + 1;
        while (at < target.size()) {
            auto end = target.find('&', at);
            if (end == std::string::npos)
                end = target.size();
            auto const part = target.substr(at, end - at);
            auto const equals = part.find('=');
            into.query[part.substr(0, equals)] =
                equals == std::string::npos
                    ? std::string()
                    : percent_decoded(part.substr(equals + 1));
            at = end + 1;
        }
    }

    handler handler_;
    int listener_ = -1;
};

// A client's connection that stays open between its requests.
class kept_connection
{
public:
    ~kept_connection() { close(); }

    bool open(address const& where)
    {
        close();
        descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const to = socket_address(where);
        return ::connect(
                   descriptor_, reinterpret_cast<sockaddr const*>(&to),
                   sizeof to) == 0;
    }

    bool send(std::string const& text) { return send_all(descriptor_, text); }

    // The status of the answer; 0 where the peer has closed the connection
    // after it had read everything, -1 where it was reset, and -2 after the
    // timeout.
    int receive(std::chrono::milliseconds timeout)
    {
        std::string bytes;
        auto const until = clock_type::now() + timeout;
        for (;;) {
            auto const left =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    until - clock_type::now());
            pollfd waits{descriptor_, POLLIN, 0};
            if (left.count() <= 0 ||
                ::poll(&waits, 1, static_cast<int>(left.count())) <= 0)
                return -2;
            char part[4096];
            auto const got = ::recv(descriptor_, part, sizeof part, 0);
            if (got < 0)
                return -1;
            if (got == 0)
                return 0;
            bytes.append(part, static_cast<std::size_t>(got));
            if (bytes.find("\r\n\r\n") != std::string::npos)
                return std::stoi(bytes.substr(bytes.find(' ') + 1));
        }
    }

    void close()
    {
        if (descriptor_ >= 0)
            ::close(descriptor_);
        descriptor_ = -1;
    }

private:
    int descriptor_ = -1;
};

// One call on a connection of its own. Status 0: no answer; -1: no connection.
inline response call(
    address const& where, std::string const& method, std::string const& target,
    std::string const& body, std::map<std::string, std::string> const& headers,
    std::chrono::milliseconds timeout)
{
    auto const until = clock_type::now() + timeout;
    int const connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const to = socket_address(where);
    if (::connect(
            connection, reinterpret_cast<sockaddr const*>(&to), sizeof to) !=
        0) {
        ::close(connection);
        return {-1, "", false};
    }
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    bool has_host = false;
    for (auto const& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
        has_host = has_host || name == "Host";
    }
    if (!has_host)
        text += "Host: " + where.text() + "\r\n";
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    std::string line;
    std::map<std::string, std::string> got;
    response answer{0, "", false};
    if (send_all(connection, text) &&
        read_message(connection, buffer, line, got, answer.body, until))
        answer.status = std::stoi(line.substr(line.find(' ') + 1));
    ::close(connection);
    return answer;
}

} // namespace stand
