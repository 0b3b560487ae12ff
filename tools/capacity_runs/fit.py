"""Least-squares lines through measured points."""

import attrs
import numpy as np


@attrs.frozen
class Slope:
    """A fitted line: `slope` is in `unit` per `by`, `base` the value at 0 in `unit`.

    `residual` is the root mean square distance of the points from the line, in `unit`. Field
    names are keys of docs/capacity.json.
    """

    name: str
    run: str
    unit: str
    by: str
    points: tuple
    slope: float
    base: float
    residual: float

    def value_at(self, count):
        """Return the line's value at `count`."""
        return self.base + self.slope * count


def fit(name, run, unit, by, points):
    """Return the least-squares `Slope` of at least four (count, value) points."""
    if len(points) < 4:
        raise ValueError(f"{name}: four points are needed")
    counts, values = (np.array(column, float) for column in zip(*points, strict=True))
    slope, base = np.polyfit(counts, values, 1)
    residual = float(np.sqrt(np.mean((values - (base + slope * counts)) ** 2)))
    return Slope(name, run, unit, by, tuple(points), float(slope), float(base), residual)
