"""Carries out the commands of a `LongPrompt` over the links to the endpoint daemons."""

from persimmonstall.failures import Reason
from persimmonstall.memory.long_prompt import RENEW_SECONDS, Generate, Prefill, Refused
from persimmonstall.messages import control, requests


class PartCommands:
    """Reserves, renews, prefills and releases the parts of divided prompts for `entry`."""

    def __init__(self, entry):
        self.entry = entry

    def execute(self, division, commands):
        """Carry out the commands and send the messages in `commands`."""
        for command in commands:
            if isinstance(command, Prefill):
                self.prefill(division, command.part)
            elif isinstance(command, Generate):
                division.generate = command
            elif isinstance(command, Refused):
                self.on_refused(division, command)
            elif not self.send(command) and isinstance(command, control.Reserve):
                answer = control.Reserved(command.reservation, command.endpoint, Reason.PEER_LOST)
                division.mailbox.put_nowait(answer)

    def send(self, message):
        """Send a message to the daemon of its endpoint; return False without a link."""
        return self.entry.links.send(message.endpoint, message)

    def on_refused(self, division, refused):
        """Avoid an engine without enough memory; divide again if all parts were released."""
        division.avoided.add(refused.endpoint)
        if refused.released:
            avoided = set(division.avoided)
            self.release(division)
            division.avoided = avoided

    def prefill(self, division, part):
        """Send the prefill of one part."""
        link = self.entry.links.link_to(part.endpoint)
        exchange = self.entry.exchanges.open(part.reservation)
        exchange.mailbox = division.mailbox
        exchange.instance = link.name if link else ""
        division.exchanges[part.reservation] = exchange
        division.state.may_have_run = True
        if not self.send(self.prefill_message(division.state.work, part)):
            division.prompt.on_lost(part.reservation)

    def prefill_message(self, work, part):
        """Return the `Submit` message of the prefill of a part."""
        return requests.Submit(
            request_id=part.reservation,
            attempt=1,
            endpoint=part.endpoint,
            organisation=work.organisation,
            prompt=work.prompt,
            remaining=self.entry.remaining(work),
            model=work.model,
            adapter=work.adapter,
            prompt_tokens=work.prompt_tokens,
            priority=work.priority,
            length_class=work.length_class,
            fingerprint=work.fingerprint,
            suspect=self.entry.quarantine_filter.is_suspect(work),
            segment_start=part.assignment.start,
            segment_end=part.assignment.end,
        )

    def renew(self, division):
        """Renew all reservations."""
        division.renew_at = self.entry.context.now() + RENEW_SECONDS
        for message in division.prompt.renewals():
            self.send(message)

    def release(self, division):
        """Release all parts; the prompt is divided again if there is time."""
        prompt, division.prompt = division.prompt, None
        division.lost_at = 0.0
        division.avoided.clear()
        for message in prompt.release() if prompt else ():
            self.send(message)
        for exchange in division.exchanges.values():
            self.entry.exchanges.close(exchange)
        division.exchanges.clear()
        division.confirmed_at.clear()
