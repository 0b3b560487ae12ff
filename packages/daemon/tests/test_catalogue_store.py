import asyncio

import attrs
import pytest

from persimmonstall.catalogue import Accepted, Rejected
from persimmonstall.catalogue.editing import Transaction, plan_edit
from persimmonstall.failures import Reason
from persimmonstall.outside.table import Committed
from persimmonstall_daemon.catalogue import CatalogueStore
from persimmonstall_standins.table import MemoryTable
from persimmonstall_standins.virtual.loop import run

from .catalogue_site import Site, model


class UnconditionalTable(MemoryTable):
    """Ignores the expected versions of writes, to show what fails without compare-and-set."""

    def commit_now(self, writes):
        found = [self.rows.get((write.table, write.key)) for write in writes]
        current = [
            attrs.evolve(write, expected=row.version if row else 0)
            for row, write in zip(found, writes, strict=True)
        ]
        return Committed(tuple(self.put(write) for write in current))


class StoreWithoutCallIds(CatalogueStore):
    """Plans every round again with a new call id, so it does not recognise its own change."""

    async def commit_edit(self, edit):
        for number in range(4):
            fresh = attrs.evolve(edit, call_id=f"{edit.call_id}-{number}")
            transaction = plan_edit(fresh, await self.read_rows(fresh), 0.0)
            if not isinstance(transaction, Transaction):
                return transaction
            if await self.table.commit(transaction.writes, 1.0):
                return Accepted(transaction.version)
        return None


async def race(table):
    site = Site()
    site.table = table
    stores = [site.store(name) for name in ("a", "b") if site.follow(name)]
    calls = [store.change(model(n), 0, f"call{n}") for n, store in enumerate(stores)]
    answers = await asyncio.gather(*calls)
    await site.stop()
    return answers


def test_of_two_concurrent_changes_one_is_rejected_with_the_current_version():
    answers = run(race(MemoryTable()))
    assert sorted(map(bool, answers)) == [False, True]
    lost = next(answer for answer in answers if not answer)
    assert isinstance(lost, Rejected) and lost.current == 1 and lost.value.name == "m"


def test_without_compare_and_set_both_concurrent_changes_are_accepted():
    assert all(run(race(UnconditionalTable())))


async def lose_an_answer(store_class):
    site = Site()
    site.follow("a")
    store = site.store("a", store_class)
    site.table.faults.lose_answers = True
    asyncio.get_running_loop().call_later(0.5, setattr, site.table.faults, "lose_answers", False)
    answer = await store.change(model(1), 0, "call")
    await site.stop()
    return answer


def test_a_lost_answer_is_read_back_by_its_call_id():
    assert run(lose_an_answer(CatalogueStore)) == Accepted(1, repeated=True)


def test_without_the_call_id_a_change_in_effect_is_reported_as_lost():
    assert run(lose_an_answer(StoreWithoutCallIds)).reason is Reason.CONFLICT


async def apply_late(store_class, conflicting):
    site = Site()
    site.follow("a")
    store = site.store("a", store_class)
    site.table.faults.apply_late = 20.0
    first = await store.change(model(1), 0, "call")
    site.table.faults.apply_late = 0.0
    if conflicting:
        assert await store.change(model(2), 0, "other")
    second = await store.change(model(1), 0, "call")
    await asyncio.sleep(40.0)
    version = (await store.read("model", "m")).touched
    await site.stop()
    return first, second, version


def test_a_write_applied_long_after_its_timeout_is_made_once():
    first, second, version = run(apply_late(CatalogueStore, False))
    assert first.reason is Reason.AMBIGUOUS
    assert (second, version) == (Accepted(1), 1)


def test_a_late_write_loses_to_the_change_that_came_between():
    _, second, version = run(apply_late(CatalogueStore, True))
    assert second.reason is Reason.CONFLICT and version == 1


@pytest.mark.parametrize("again, reason", [(model(1), None), (model(2), Reason.KEY_CONFLICT)])
def test_a_call_id_stands_for_one_change(again, reason):
    async def main():
        site = Site()
        site.follow("a")
        store = site.store("a")
        assert await store.change(model(1), 0, "call") == Accepted(1)
        answer = await store.change(again, 0, "call")
        assert getattr(answer, "reason", None) is reason
        assert (await store.read("model", "m")).touched == 1
        await site.stop()

    run(main())


def test_no_change_is_planned_from_stale_reads():
    async def main():
        site = Site()
        site.follow("a")
        store = site.store("a")
        await store.change(model(1), 0, "one")
        site.table.faults.serve_old = True
        await store.change(model(2), 1, "two")
        await asyncio.sleep(0.1)
        answer = await store.change(model(3), 2, "three")
        assert answer.reason is Reason.TABLE_DOWN
        await site.stop()

    run(main())


def test_a_deleted_record_is_created_again_with_expected_version_0():
    async def main():
        site = Site()
        site.follow("a")
        store = site.store("a")
        await store.change(model(1), 0, "one")
        assert await store.delete("model", "m", 1, "two") == Accepted(2)
        assert await store.change(model(1), 0, "three") == Accepted(3)
        assert (await store.delete("model", "x", 0, "four")).reason is Reason.NOT_FOUND
        await site.stop()

    run(main())
