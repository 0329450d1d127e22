"""CBOR for the bodies of the protocol: maps with text keys, lists, text, numbers, booleans, null."""
import math
import struct


def _head(major, number):
    if number < 24:
        return bytes([major << 5 | number])
    for info, fmt, limit in ((24, ">B", 1 << 8), (25, ">H", 1 << 16), (26, ">I", 1 << 32)):
        if number < limit:
            return bytes([major << 5 | info]) + struct.pack(fmt, number)
    return bytes([major << 5 | 27]) + struct.pack(">Q", number)


def encode(value):
    if value is None:
        return b"\xf6"
    if value is True:
        return b"\xf5"
    if value is False:
        return b"\xf4"
    if isinstance(value, int):
        return _head(0, value) if value >= 0 else _head(1, -1 - value)
    if isinstance(value, float):
        return b"\xfb" + struct.pack(">d", value)
    if isinstance(value, str):
        text = value.encode()
        return _head(3, len(text)) + text
    if isinstance(value, (list, tuple)):
        return _head(4, len(value)) + b"".join(encode(item) for item in value)
    if isinstance(value, dict):
        parts = [_head(5, len(value))]
        for key, item in value.items():
            parts.append(encode(key))
            parts.append(encode(item))
        return b"".join(parts)
    raise ValueError(f"cannot encode {type(value)}")


class _Reader:
    def __init__(self, data):
        self.data = data
        self.at = 0

    def take(self, count):
        if self.at + count > len(self.data):
            raise ValueError("truncated")
        self.at += count
        return self.data[self.at - count:self.at]

    def number(self, info):
        if info < 24:
            return info
        if info == 24:
            return self.take(1)[0]
        if info == 25:
            return struct.unpack(">H", self.take(2))[0]
        if info == 26:
            return struct.unpack(">I", self.take(4))[0]
        if info == 27:
            return struct.unpack(">Q", self.take(8))[0]
        raise ValueError("bad length")

    def value(self):
        first = self.take(1)[0]
        major, info = first >> 5, first & 31
        if major == 0:
            return self.number(info)
        if major == 1:
            return -1 - self.number(info)
        if major == 3:
            return self.take(self.number(info)).decode()
        if major == 4:
            return [self.value() for _ in range(self.number(info))]
        if major == 5:
            result = {}
            for _ in range(self.number(info)):
                key = self.value()
                result[key] = self.value()
            return result
        if major == 7:
            if info == 20:
                return False
            if info == 21:
                return True
            if info in (22, 23):
                return None
            if info == 25:
                return struct.unpack(">e", self.take(2))[0]
            if info == 26:
                return struct.unpack(">f", self.take(4))[0]
            if info == 27:
                return struct.unpack(">d", self.take(8))[0]
        raise ValueError("not in the protocol")


def decode(data):
    reader = _Reader(data)
    value = reader.value()
    if isinstance(value, float) and math.isnan(value):
        raise ValueError("not a number")
    return value
