/// Tests what nng does with messages when a peer disconnects. The messages
/// between the scheduler's processes rely on this behaviour.
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pair0/pair.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <string>
#include <vector>

namespace {

// Ends a test that hangs; no check depends on it.
constexpr nng_duration test_timeout_ms = 20'000;
constexpr nng_duration reconnect_ms = 10;
constexpr int buffered_messages = 4;

using opener = int (*)(nng_socket*);

/// Waits until connections of a socket have been added or removed.
class pipe_monitor
{
public:
    explicit pipe_monitor(nng_socket socket)
    {
        nng_pipe_notify(socket, NNG_PIPE_EV_ADD_POST, &on_event, this);
        nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, &on_event, this);
    }

    void wait_for_added(int count) { wait(added_, count); }
    void wait_for_removed(int count) { wait(removed_, count); }

private:
    static void on_event(nng_pipe, nng_pipe_ev event, void* argument)
    {
        auto* self = static_cast<pipe_monitor*>(argument);
        std::lock_guard const lock(self->mutex_);
        (event == NNG_PIPE_EV_ADD_POST ? self->added_ : self->removed_) += 1;
        self->changed_.notify_all();
    }

    void wait(int const& counter, int count)
    {
        std::unique_lock lock(mutex_);
        REQUIRE(changed_.wait_for(
            lock, std::chrono::milliseconds(test_timeout_ms),
            [&] { return counter >= count; }));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    int added_ = 0;
    int removed_ = 0;
};

/// A socket that the destructor closes.
struct scoped_socket
{
    nng_socket handle{};
    bool open = true;

    explicit scoped_socket(opener how)
    {
        REQUIRE(how(&handle) == 0);
        nng_socket_set_ms(handle, NNG_OPT_RECVTIMEO, test_timeout_ms);
        nng_socket_set_ms(handle, NNG_OPT_SENDTIMEO, test_timeout_ms);
        nng_socket_set_ms(handle, NNG_OPT_RECONNMINT, reconnect_ms);
        nng_socket_set_ms(handle, NNG_OPT_RECONNMAXT, reconnect_ms);
    }
    ~scoped_socket() { close(); }
    scoped_socket(scoped_socket const&) = delete;
    scoped_socket& operator=(scoped_socket const&) = delete;

    void close()
    {
        if (open)
            nng_close(handle);
        open = false;
    }

    int send(std::string const& text, int flags = NNG_FLAG_NONBLOCK) const
    {
        std::string copy = text;
        return nng_send(handle, copy.data(), copy.size(), flags);
    }

    std::string receive() const
    {
        nng_msg* raw = nullptr;
        int const code = nng_recvmsg(handle, &raw, 0);
        if (code != 0)
            return nng_strerror(code);
        std::string text(
            static_cast<char const*>(nng_msg_body(raw)), nng_msg_len(raw));
        nng_msg_free(raw);
        return text;
    }

    std::vector<std::string> receive_until(std::string const& last) const
    {
        std::vector<std::string> texts;
        do {
            texts.push_back(receive());
        } while (texts.back() != last && texts.back() != "Timed out");
        return texts;
    }

    std::string listen(std::string const& url = "tcp://127.0.0.1:0") const
    {
        nng_listener listener{};
        REQUIRE(nng_listen(handle, url.c_str(), &listener, 0) == 0);
        int port = 0;
        nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
        return "tcp://127.0.0.1:" + std::to_string(port);
    }

    void dial(std::string const& url) const
    {
        REQUIRE(nng_dial(handle, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) == 0);
    }
};

std::vector<std::string> numbered(int count)
{
    std::vector<std::string> texts;
    texts.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        texts.push_back(std::to_string(number));
    return texts;
}

/// Counts how many of three successive repliers receive one request when each
/// closes without an answer.
int deliveries_of_one_request(nng_duration resend_time, std::string& answer)
{
    constexpr int replier_count = 3;
    scoped_socket requester(&nng_req0_open);
    nng_socket_set_ms(requester.handle, NNG_OPT_REQ_RESENDTIME, resend_time);
    pipe_monitor pipes(requester.handle);
    std::string url = "tcp://127.0.0.1:0";
    int deliveries = 0;
    for (int replier_number = 1; replier_number <= replier_count;
         ++replier_number) {
        scoped_socket replier(&nng_rep0_open);
        url = replier.listen(url);
        if (replier_number == 1) {
            requester.dial(url);
            REQUIRE(requester.send("start", 0) == 0);
        }
        pipes.wait_for_added(replier_number);
        // The absence of a message can't be shown by a second message here, as
        // the requester has only one request at a time. So the timeout is short
        // if no message is expected.
        bool const is_expected =
            replier_number == 1 || resend_time != NNG_DURATION_INFINITE;
        constexpr nng_duration no_message_ms = 200;
        nng_socket_set_ms(
            replier.handle, NNG_OPT_RECVTIMEO,
            is_expected ? test_timeout_ms : no_message_ms);
        deliveries += replier.receive() == "start" ? 1 : 0;
        replier.close();
        pipes.wait_for_removed(replier_number);
    }
    nng_socket_set_ms(requester.handle, NNG_OPT_RECVTIMEO, 0);
    answer = requester.receive();
    return deliveries;
}

} // namespace

TEST_CASE("req0 resends a request by itself when a replier disconnects")
{
    constexpr nng_duration default_resend_ms = 60'000;
    std::string answer;
    CHECK(deliveries_of_one_request(default_resend_ms, answer) == 3);
}

TEST_CASE("req0 without a resend time sends once and reports the loss")
{
    std::string answer;
    CHECK(deliveries_of_one_request(NNG_DURATION_INFINITE, answer) == 1);
    CHECK(answer == "Connection reset");
}

TEST_CASE("a full buffer refuses a send that may not wait")
{
    scoped_socket push(&nng_push0_open);
    nng_socket_set_int(push.handle, NNG_OPT_SENDBUF, buffered_messages);
    for (auto const& text : numbered(buffered_messages))
        CHECK(push.send(text) == 0);
    CHECK(push.send("over") == NNG_EAGAIN);

    scoped_socket unbuffered(&nng_push0_open);
    nng_socket_set_int(unbuffered.handle, NNG_OPT_SENDBUF, 0);
    CHECK(unbuffered.send("over") == NNG_EAGAIN);
}

TEST_CASE("messages sent while the peer is away reach its next incarnation")
{
    auto const [open_sender, open_receiver] = GENERATE(
        std::pair<opener, opener>{&nng_push0_open, &nng_pull0_open},
        std::pair<opener, opener>{&nng_pair0_open, &nng_pair0_open});
    scoped_socket sender(open_sender);
    nng_socket_set_int(sender.handle, NNG_OPT_SENDBUF, buffered_messages);
    pipe_monitor pipes(sender.handle);
    scoped_socket first(open_receiver);
    auto const url = first.listen();
    sender.dial(url);
    pipes.wait_for_added(1);
    REQUIRE(sender.send("hello", 0) == 0);
    CHECK(first.receive() == "hello");
    first.close();
    pipes.wait_for_removed(1);

    // The closing connection may still accept one message, which is lost.
    constexpr int most_accepted = buffered_messages + 1;
    int accepted = 0;
    while (sender.send(std::to_string(accepted)) == 0)
        ++accepted;
    CHECK(accepted >= buffered_messages);
    CHECK(accepted <= most_accepted);

    scoped_socket second(open_receiver);
    second.listen(url);
    pipes.wait_for_added(2);
    REQUIRE(sender.send("last", 0) == 0);
    auto expected = numbered(accepted);
    expected.erase(expected.begin(), expected.end() - buffered_messages);
    expected.emplace_back("last");
    CHECK(second.receive_until("last") == expected);
}

TEST_CASE("messages held back by a stalled peer are lost or move to the next "
          "incarnation, each at most once")
{
    constexpr std::size_t message_bytes = 64 * 1024;
    constexpr nng_duration stalled_ms = 300;
    scoped_socket push(&nng_push0_open);
    nng_socket_set_int(push.handle, NNG_OPT_SENDBUF, buffered_messages);
    nng_socket_set_ms(push.handle, NNG_OPT_SENDTIMEO, stalled_ms);
    pipe_monitor pipes(push.handle);
    scoped_socket first(&nng_pull0_open);
    auto const url = first.listen();
    push.dial(url);
    pipes.wait_for_added(1);
    std::string const padding(message_bytes, '.');
    int accepted = 0;
    while (push.send(std::to_string(accepted) + padding, 0) == 0)
        ++accepted;
    first.close();
    pipes.wait_for_removed(1);

    scoped_socket second(&nng_pull0_open);
    second.listen(url);
    pipes.wait_for_added(2);
    nng_socket_set_ms(push.handle, NNG_OPT_SENDTIMEO, test_timeout_ms);
    REQUIRE(push.send("last", 0) == 0);
    auto const moved = second.receive_until("last");
    INFO(
        "accepted " << accepted << ", reached the next incarnation "
                    << moved.size() - 1);
    int previous = -1;
    for (auto const& text : moved) {
        if (text == "last")
            break;
        int const number = std::stoi(text);
        CHECK(number > previous);
        CHECK(number < accepted);
        previous = number;
    }
    CHECK(moved.back() == "last");
}

TEST_CASE("without a send buffer nothing reaches the next incarnation")
{
    scoped_socket push(&nng_push0_open);
    nng_socket_set_int(push.handle, NNG_OPT_SENDBUF, 0);
    pipe_monitor pipes(push.handle);
    scoped_socket first(&nng_pull0_open);
    auto const url = first.listen();
    push.dial(url);
    pipes.wait_for_added(1);
    REQUIRE(push.send("hello", 0) == 0);
    CHECK(first.receive() == "hello");
    first.close();
    pipes.wait_for_removed(1);
    CHECK(push.send("away") == NNG_EAGAIN);
    scoped_socket second(&nng_pull0_open);
    second.listen(url);
    pipes.wait_for_added(2);
    REQUIRE(push.send("last", 0) == 0);
    CHECK(second.receive() == "last");
}
