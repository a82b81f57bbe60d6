from currantdeal.policy.shared_retry_budget import SharedRetryBudget

RATIO, ALLOWANCE, WINDOW_S = 0.2, 56.0, 10.0


def _budgets(entries):
    return [
        SharedRetryBudget(ratio=RATIO, allowance=ALLOWANCE, window_s=WINDOW_S)
        for _ in range(entries)
    ]


def test_all_entries_together_stay_within_the_budget():
    """Guards against a retry storm after a crash of all upstreams.

    Every request needs a retry.  Eight entries with a whole budget each would
    send eight times the retries that the remaining upstreams can serve.
    """
    budgets = _budgets(8)
    retries, requests = [], 0
    for step in range(300):
        now_s = step / 10.0
        for budget in budgets:
            budget.record_request(now_s=now_s)
            requests += 1
            if budget.try_use(now_s=now_s, entries=8):
                retries.append(now_s)
    for start in range(0, 200):
        start_s = start / 10.0
        in_window = [t for t in retries if start_s <= t < start_s + WINDOW_S]
        received = 8 * 100
        assert len(in_window) <= RATIO * received + ALLOWANCE


def test_entry_without_requests_may_retry_at_once():
    (budget,) = _budgets(1)
    assert budget.try_use(now_s=0.0, entries=8)


def test_part_of_an_entry_shrinks_with_the_number_of_entries():
    few, many = _budgets(2)

    def count_taken(budget, entries):
        return sum(
            budget.try_use(now_s=0.0, entries=entries) for _ in range(99)
        )

    assert count_taken(few, 8) > count_taken(many, 80)
