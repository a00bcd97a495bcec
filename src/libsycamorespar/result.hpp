/// Results as variants, and errors that name the failed step and the peer.
#ifndef SYCAMORESPAR_RESULT_HPP
#define SYCAMORESPAR_RESULT_HPP

#include <string>
#include <utility>
#include <variant>

namespace sycamorespar {

/// What is known about the effect of a failed operation.
enum class outcome
{
    /// Certain: it had no effect and never will.
    not_run,
    /// It may or may not have taken effect.
    unknown,
    /// It took effect.
    ran
};

/// Why an operation failed.
struct error
{
    /// The step that failed, such as "store.commit" or "peer.send".
    std::string step;
    /// The peer concerned, such as "127.0.0.1:7000"; may be empty.
    std::string peer;
    /// The cause, in one line.
    std::string reason;
    /// What is known about the effect.
    outcome effect = outcome::not_run;
};

/// The value of operations that return none.
using done = std::monostate;

/// Either a value or the error that prevented it.
template<class T>
using result = std::variant<T, error>;

/// True if the result holds a value.
template<class T>
bool ok(result<T> const& outcome_or_value)
{
    return outcome_or_value.index() == 0;
}

/// The value of a result that is known to hold one.
template<class T>
T const& value(result<T> const& from)
{
    return std::get<0>(from);
}

/// Moves the value out of a result that is known to hold one.
template<class T>
T take(result<T>&& from)
{
    return std::get<0>(std::move(from));
}

/// The error of a result that is known to hold one.
template<class T>
error const& failure(result<T> const& from)
{
    return std::get<1>(from);
}

} // namespace sycamorespar

#endif
