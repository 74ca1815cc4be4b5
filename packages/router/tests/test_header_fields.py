from nutmegpost_router import header_fields


def test_bytes_outside_ascii_are_passed_on_as_they_came():
    every = bytes(range(0x80, 0x100))
    fields = [("X-Name", every.decode("latin-1"))]
    assert header_fields.encode(fields) == [(b"X-Name", every)]


def test_value_of_our_own_is_utf_8_if_latin_1_lacks_a_character():
    assert header_fields.encode([("Tenant", "\u0141\u00f3d\u017a")]) == [
        (b"Tenant", "\u0141\u00f3d\u017a".encode())
    ]
