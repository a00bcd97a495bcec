/// The random number engine that callers seed.
#ifndef SYCAMORESPAR_RANDOM_ENGINE_HPP
#define SYCAMORESPAR_RANDOM_ENGINE_HPP

#include <boost/random/mersenne_twister.hpp>

namespace sycamorespar {

/// Produces the same numbers from the same seed on every platform.
using random_engine = boost::random::mt19937_64;

} // namespace sycamorespar

#endif
