from currantdeal.policy.shared_budget import SharedBudget

RATIO, ALLOWANCE, WINDOW_S = 0.2, 56.0, 10.0


def _budgets(entries):
    return [
        SharedBudget(ratio=RATIO, allowance=ALLOWANCE, window_s=WINDOW_S)
        for _ in range(entries)
    ]


def test_all_entries_together_stay_within_the_budget():
    """All upstreams of a service crash and every request wants a repeat.

    Eight entries that each kept a whole budget would send eight times as
    much as the upstreams that are left can take.
    """
    budgets = _budgets(8)
    repeats, requests = [], 0
    for step in range(300):
        now_s = step / 10.0
        for budget in budgets:
            budget.note_request(now_s=now_s)
            requests += 1
            if budget.take(now_s=now_s, entries=8):
                repeats.append(now_s)
    for start in range(0, 200):
        begins = start / 10.0
        within = [t for t in repeats if begins <= t < begins + WINDOW_S]
        asked = 8 * 100
        assert len(within) <= RATIO * asked + ALLOWANCE


def test_a_quiet_entry_may_repeat_at_once():
    (budget,) = _budgets(1)
    assert budget.take(now_s=0.0, entries=8)


def test_more_entries_have_smaller_parts():
    few, many = _budgets(2)

    def taken(budget, entries):
        return sum(budget.take(now_s=0.0, entries=entries) for _ in range(99))

    assert taken(few, 8) > taken(many, 80)
