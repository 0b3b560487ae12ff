"""Order in which the tests of all packages run."""

SLOWEST_MODULES = (
    "test_planned_stop",
    "test_claims_processes",
    "test_direct_crashes",
    "test_memory_soak",
    "test_leaving",
    "test_claims_storm",
    "test_direct_crash_contents",
    "test_specification",
    "test_direct_limits",
    "test_direct_copies",
    "test_catalogue_processes",
    "test_whole_path",
)
"""Modules that take longest; they run first, so that no worker is left with one at the end."""


def pytest_collection_modifyitems(items):
    """Put the tests of the slowest modules first."""
    items.sort(key=rank)


def rank(item):
    """Return the place of a test's module among the slowest ones, which is last for others."""
    name = item.path.stem
    return SLOWEST_MODULES.index(name) if name in SLOWEST_MODULES else len(SLOWEST_MODULES)
