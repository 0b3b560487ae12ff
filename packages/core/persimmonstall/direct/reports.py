"""What entries tell each other beside their beacons, one subject each."""

import abc


class Report(abc.ABC):
    """One subject that entries tell each other about, in typed datagrams of its own `kind`.

    Datagrams can be lost, repeated and overtake each other, so merging must be idempotent and
    independent of the order.  Entries that do not know the kind drop them.  Changes of an
    `urgent` report go with announcements, which the link's share does not hold back.
    """

    kind = None
    urgent = False

    @abc.abstractmethod
    def changes(self, now):
        """Return the fields that tell what changed lately, None if nothing did."""

    @abc.abstractmethod
    def state(self, now):
        """Return the fields that tell everything, None if there is nothing to tell."""

    @abc.abstractmethod
    def mark_sent(self):
        """Record that the latest changes were sent."""

    @abc.abstractmethod
    def merge(self, fields, now):
        """Merge the fields of another entry's datagram; return a `Failure` if they are malformed.

        Fields that are not known are ignored, so that later versions can add some.
        """
