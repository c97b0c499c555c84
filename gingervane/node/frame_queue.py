"""Frames that wait to be written to one connection, and the one that is written in part.

All methods are called under the connection's lock. Frames are written by the decision thread alone.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from gingervane.coordinator import types as t


class OutgoingFrame(NamedTuple):
    """The bytes of a frame that are still to be written.

    `parts`: ids of the parts in it, none for a cancellation. `retry_batch`: the batch, if a retry is in it.
    `encoded_at`: when the frame was made.
    """

    data: bytes
    parts: set[str]
    retry_batch: t.BatchRequest | None
    encoded_at: float

    def after(self, sent: int) -> OutgoingFrame:
        """Return what is left to write after `sent` more bytes."""
        return OutgoingFrame(self.data[sent:], self.parts, self.retry_batch, self.encoded_at)

    def is_overdue(self, now: float) -> bool:
        """Whether the rest of a frame may not be written any more.

        An attempt counts from its frame's last byte: a retry would be past its idempotency window or its budget's
        window, and the time that any attempt tells its replica was right when the frame was encoded.
        """
        retry_is_overdue = self.retry_batch is not None and self.retry_batch.is_send_overdue(now)
        return retry_is_overdue or now - self.encoded_at > t.MAX_SEND_DELAY


class FrameQueue:
    """Batches and encoded cancellations in their order, behind the rest of a frame."""

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
        """Take what is to be written next.

        The rest of a frame is not half-written any more as far as the reader knows: were the connection to break now,
        the rest may have been sent.
        """
        if self.partial is None:
            return self._pending.popleft()
        frame = self.partial
        self.partial = None
        return frame

    def is_partially_sent(self, part_id: str) -> bool:
        """Whether a part is in the frame that is written in part."""
        return self.partial is not None and part_id in self.partial.parts

    def unsent_parts(self) -> set[str]:
        """Return the ids of parts whose frame is not completely written."""
        batches = [item for item in self._pending if isinstance(item, t.BatchRequest)]
        waiting = {request.content.id for batch in batches for request in batch.attempts}
        return waiting | self.partial.parts if self.partial else waiting

    def clear(self) -> None:
        """Forget all that waits behind the frame that is written in part."""
        self._pending.clear()
