#include "http/internal/caller_watch.h"

#include <sys/epoll.h>

#include <array>
#include <utility>

namespace snipeshore::http {

namespace {

constexpr int events_per_call = 64;

} // namespace

caller_watch::caller_watch(h2o_evloop_t* evloop, event_callback on_event)
    : m_epoll(epoll_create1(EPOLL_CLOEXEC)), m_on_event(std::move(on_event))
{
    m_socket = h2o_evloop_socket_create(evloop, m_epoll, H2O_SOCKET_FLAG_DONT_READ);
    m_socket->data = this;
    h2o_socket_read_start(m_socket, on_ready);
}

caller_watch::~caller_watch()
{
    h2o_socket_close(m_socket);
}

void caller_watch::add(int descriptor, std::uint64_t id, bool reports_bytes) const
{
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLET;
    if (reports_bytes) {
        event.events |= EPOLLIN;
    }
    event.data.u64 = id;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
}

void caller_watch::on_ready(h2o_socket_t* socket, const char* /*failure*/)
{
    static_cast<caller_watch*>(socket->data)->report();
}

void caller_watch::report()
{
    std::array<epoll_event, events_per_call> events{};
    int count = events_per_call;
    while (count == events_per_call) {
        count = epoll_wait(m_epoll, events.data(), events_per_call, 0);
        for (int i = 0; i < count; ++i) {
            const epoll_event& event = events.at(static_cast<std::size_t>(i));
            const bool is_disconnect = (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
            m_on_event(event.data.u64,
                       is_disconnect ? caller_event::disconnected : caller_event::data_available);
        }
    }
}

} // namespace snipeshore::http
