/// A budget that keeps extra copies of requests a fixed part of the first ones.
#ifndef SYCAMORESPAR_RETRY_BUDGET_HPP
#define SYCAMORESPAR_RETRY_BUDGET_HPP

namespace sycamorespar {

/// Limits of a budget.
struct retry_budget_limits
{
    /// Extra copies earned by each first copy.
    double ratio = 0.1;
    /// Extra copies that may be saved up; the budget starts with these.
    double max_saved = 10.0;
};

/// First copies earn, retries and hedges spend.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_limits const& limits = {});

    /// A first copy was sent.
    void earn();
    /// Takes one extra copy. \return false where none is left.
    bool spend();
    /// Extra copies left.
    double left() const { return left_; }

private:
    retry_budget_limits limits_;
    double left_;
};

} // namespace sycamorespar

#endif
