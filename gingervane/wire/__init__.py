"""Wire formats and connections: HTTP/1.1, protobuf, snappy, frames, JSON streams. Makes no decisions."""
