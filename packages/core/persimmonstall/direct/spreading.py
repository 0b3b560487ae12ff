"""Spreads choices that several entries make at once, without knowing each other's."""


def water_level(costs, volume):
    """Return the cost to which `volume` of added cost raises the lowest of sorted `costs`.

    >>> water_level([0.0, 1.0, 5.0], 3.0)
    2.0
    """
    total = 0.0
    for count, cost in enumerate(costs, start=1):
        total += cost
        level = (volume + total) / count
        if count == len(costs) or level <= costs[count]:
            return level
    raise ValueError("no costs")


def choose_spread(items, cost, volume, random):
    """Return one of `items`, cheaper ones with a higher probability.

    If other choosers add `volume` of cost by the same rule meanwhile, the expected costs of the
    chosen items end up equal.  Without any volume it is the first of the cheapest.
    """
    ordered = sorted(items, key=cost)
    if volume <= 0.0:
        return ordered[0]
    costs = [cost(item) for item in ordered]
    level = water_level(costs, volume)
    weights = [max(0.0, level - each) for each in costs]
    return random.choices(ordered, weights)[0]
