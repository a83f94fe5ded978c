// Precompiled for the runtime only: headers that take seconds each to compile.
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>
