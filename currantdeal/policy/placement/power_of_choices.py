"""Order of candidates by the power of two choices.

Load pattern: thundering herd on stale load information.  Many entries place
requests by the same sums, which are a few tenths of a second old.  If each
chose the least loaded upstream, all requests of that time would go to the same
one.  If each chooses the better of a few random candidates, the load stays
nearly even, however old the sums are.
"""


def order_by_choices(
    items, *, cost, random, unreported, jitter=0.0, min_group_size=2
):
    """Return items in the order in which to try them.

    They are divided at random into as many groups as there are placements
    that the costs do not include yet.  The cheapest items of all groups come
    first, in random order, then the second ones, and so on.

    Parameters
    ----------
    cost : callable
        Estimated cost of an item; comparable.
    random : random.Random
        Source of the groups.
    unreported : float
        Placements by others that the costs do not include; with one or less
        the items are sorted by their cost.
    jitter : float
        Largest random part of a cost, used if there is only one group.
    min_group_size : int
        Items of a group at least.

    Examples
    --------
    >>> from random import Random
    >>> load = {"a": 1, "b": 9, "c": 2, "d": 8}.get
    >>> order_by_choices("bdca", cost=load, random=Random(1), unreported=0)
    ['a', 'c', 'd', 'b']
    >>> order = order_by_choices(
    ...     "abcd", cost=load, random=Random(1), unreported=9)
    >>> order[0] != "b", sorted(order)
    (True, ['a', 'b', 'c', 'd'])
    """
    group_count = max(1, min(len(items) // min_group_size, round(unreported)))
    shuffled = random.sample(list(items), len(items))
    if group_count == 1:
        return _sort_by_cost(shuffled, cost, random, jitter)
    groups = [
        sorted(shuffled[start::group_count], key=cost)
        for start in range(group_count)
    ]
    largest = max(len(group) for group in groups)
    return [
        group[position]
        for position in range(largest)
        for group in groups
        if position < len(group)
    ]


def order_groups_by_choices(groups, *, cost, **options):
    """Return one order of several groups, each ordered on its own.

    Each group is ordered by ``order_by_choices``, which gets ``options``.
    Then the groups are merged, each time with the cheaper first item next.

    Examples
    --------
    >>> from random import Random
    >>> order_groups_by_choices([[3, 1], [2, 5]], cost=lambda item: item,
    ...                         random=Random(1), unreported=0)
    [1, 2, 3, 5]
    """
    orders = [
        order_by_choices(group, cost=cost, **options) for group in groups
    ]
    return _merge_by_cost(orders, cost=cost)


def _merge_by_cost(orders, *, cost):
    """Merge several orders, each time with the cheapest first item next.

    Examples
    --------
    >>> _merge_by_cost([[3, 1], [2, 5]], cost=lambda item: item)
    [2, 3, 1, 5]
    """
    remaining = [list(order) for order in orders if order]
    merged = []
    while remaining:
        cheapest = min(remaining, key=lambda order: cost(order[0]))
        merged.append(cheapest.pop(0))
        remaining = [order for order in remaining if order]
    return merged


def _sort_by_cost(items, cost, random, jitter):
    costs = {item: cost(item) + random.uniform(0.0, jitter) for item in items}
    return sorted(items, key=costs.get)
