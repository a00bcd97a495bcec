/// Sends small TCP segments without delay.
#ifndef SYCAMORESPAR_COMMON_NO_DELAY_HPP
#define SYCAMORESPAR_COMMON_NO_DELAY_HPP

struct evhttp_connection;

namespace sycamorespar {

/// Sets TCP_NODELAY if the connection has a socket.
void set_no_delay(evhttp_connection* connection);

} // namespace sycamorespar

#endif
