/// A budget that limits extra copies of requests to a fixed fraction of the
/// first copies.
#ifndef SYCAMORESPAR_RETRY_BUDGET_HPP
#define SYCAMORESPAR_RETRY_BUDGET_HPP

namespace sycamorespar {

/// Limits of a budget.
struct retry_budget_limits
{
    /// Number of extra copies earned by each first copy.
    double ratio = 0.1;
    /// Upper bound of the balance, in extra copies; also the initial balance.
    double max_saved = 10.0;
};

/// First copies add to the balance; retries and hedges are taken from it.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_limits const& limits = {});

    /// Credits the budget for a first copy that was sent.
    void earn();
    /// Debits one extra copy. \return false if the balance is too low.
    bool spend();
    /// The balance, in extra copies.
    double left() const { return left_; }

private:
    retry_budget_limits limits_;
    double left_;
};

} // namespace sycamorespar

#endif
