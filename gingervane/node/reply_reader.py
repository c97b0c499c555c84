"""Decodes the bytes that a replica sends on one connection into finished attempts.

Called only by the reader thread.
"""

from __future__ import annotations

from threading import Lock

from gingervane.coordinator import types as t
from gingervane.interface import AttemptOutcome
from gingervane.node.connection_recorder import ConnectionRecorder
from gingervane.node.parts_in_flight import PartInFlight, PartsInFlight
from gingervane.node.replica_connection_types import CELL_BYTES, DecodeCell, PartResult
from gingervane.wire import frames
from gingervane.wire.frames import FrameError, FrameReader, SubqueryReply
from gingervane.wire.socket_recorder import SOCKET_RECORDER

_SERVED = "served"
_OUTCOMES = {_SERVED: AttemptOutcome.OK, "broke": AttemptOutcome.ERROR, "skipped": AttemptOutcome.REJECTED}


class ReplyReader:
    """Decodes replies and matches them with the parts in flight."""

    def __init__(
        self,
        parts: PartsInFlight,
        lock: Lock,
        decode_cell: DecodeCell,
        recorder: ConnectionRecorder,
    ) -> None:
        self._parts = parts
        self._lock = lock
        self._decode_cell = decode_cell
        self._recorder = recorder
        # A payload that is longer than any valid one is kept one byte too long, so that it stays invalid.
        self._frames = FrameReader(max_payload_bytes=frames.MAX_REPLY_LINE_BYTES + CELL_BYTES + 1)

    def read(self, data: bytes, received_at: float, finished: list[t.AttemptFinished]) -> None:
        """Decode received bytes, and append the attempts that they finish to `finished`.

        Raises FrameError if the connection has become unusable; replies before the fault are still appended.
        """
        self._frames.feed(data)
        while (frame := self._frames.next_frame()) is not None:
            frame_type, body = frame
            self._read_frame(frame_type, body, received_at, finished)

    def _read_frame(
        self, frame_type: bytes, body: bytes, received_at: float, finished: list[t.AttemptFinished]
    ) -> None:
        if frame_type != frames.REPLY_FRAME_TYPE:
            raise FrameError(f"frame {frame_type!r} that nobody asked for")
        reply = frames.decode_reply(body)
        with self._lock:
            part, is_known = self._parts.pop_answered(reply.id)
        if SOCKET_RECORDER.enabled:
            self._recorder.record("answer", part=reply.id, end=reply.outcome, waited=part is not None)
        if not is_known:
            raise FrameError(f"answer to a part {reply.id} that is not out")
        self._parts.last_used = received_at
        if part is not None:
            self._finish(part, reply, received_at, finished)

    def _finish(
        self, part: PartInFlight, reply: SubqueryReply, received_at: float, finished: list[t.AttemptFinished]
    ) -> None:
        request = part.request
        result = self._read_result(request.content.shard, reply)
        outcome = _OUTCOMES[reply.outcome]
        if outcome is AttemptOutcome.OK and result is None:
            outcome = AttemptOutcome.ERROR
            detail = "spoilt: its value"
            finished.append(
                t.AttemptFinished(request.part, request.attempt, outcome, received_at, None, detail)
            )
            raise FrameError("answer: its value cannot be read")
        detail = "" if result else f"the replica answered {reply.outcome}"
        finished.append(
            t.AttemptFinished(request.part, request.attempt, outcome, received_at, result, detail)
        )

    def _read_result(self, shard: int, reply: SubqueryReply) -> PartResult | None:
        cell = self._decode_cell(reply.value)
        if reply.outcome != _SERVED or cell is None or reply.score is None:
            return None
        return PartResult(shard, reply.score, cell)
