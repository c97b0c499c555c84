"""The queue of frames to be written to one connection, headed by a partially written frame if there is one.

All methods are called under the connection's lock. Only the decision thread writes frames.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from gingervane.coordinator import types as t


class OutgoingFrame(NamedTuple):
    """The bytes of a frame that are still to be written.

    `parts`: ids of the parts in it, none for a cancellation. `retry_batch`: the batch, if it contains a retry.
    `encoded_at`: when the frame was encoded.
    """

    data: bytes
    parts: set[str]
    retry_batch: t.BatchRequest | None
    encoded_at: float

    def remaining_after(self, sent: int) -> OutgoingFrame:
        """Return the rest of the frame after `sent` more bytes were written."""
        return OutgoingFrame(self.data[sent:], self.parts, self.retry_batch, self.encoded_at)

    def is_overdue(self, now: float) -> bool:
        """Whether it is too late to write the rest of the frame.

        An attempt is sent with its frame's last byte. Later, a retry might be outside its idempotency window or the
        retry budget's window, and the remaining time stated in any attempt, set at encoding, would be too long.
        """
        retry_is_overdue = self.retry_batch is not None and self.retry_batch.is_send_overdue(now)
        return retry_is_overdue or now - self.encoded_at > t.MAX_SEND_DELAY


class FrameQueue:
    """Batches and encoded cancellations in order, behind a partially written frame."""

    def __init__(self) -> None:
        self.partial: OutgoingFrame | None = None
        self._pending: deque[t.BatchRequest | bytes] = deque()

    def __bool__(self) -> bool:
        """Whether there is anything to write."""
        return self.partial is not None or bool(self._pending)

    def add(self, item: t.BatchRequest | bytes) -> None:
        """Add a batch or an encoded cancellation."""
        self._pending.append(item)

    def take(self) -> OutgoingFrame | t.BatchRequest | bytes:
        """Remove and return the next item to write.

        A partially written frame no longer counts as partial once taken: if the connection breaks from here on, the
        rest may have been sent.
        """
        if self.partial is None:
            return self._pending.popleft()
        frame = self.partial
        self.partial = None
        return frame

    def is_partially_sent(self, part_id: str) -> bool:
        """Whether a part is in the partially written frame."""
        return self.partial is not None and part_id in self.partial.parts

    def unsent_parts(self) -> set[str]:
        """Return the ids of parts whose frame is not completely written."""
        batches = [item for item in self._pending if isinstance(item, t.BatchRequest)]
        waiting = {request.content.id for batch in batches for request in batch.attempts}
        return waiting | self.partial.parts if self.partial else waiting

    def clear(self) -> None:
        """Remove all items behind the partially written frame."""
        self._pending.clear()
