// The sources of Asio and Beast, compiled once for the whole library.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
