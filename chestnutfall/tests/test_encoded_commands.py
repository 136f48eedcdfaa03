"""Commands as they are proposed to the log."""

from __future__ import annotations

import unittest

from ..control.commands import NameVersion, PutDocument, UnreadableCommand, encode_command


class EncodeCommandTest(unittest.TestCase):
    # Guards against an entry that is committed and can't be read by any replica: the encoder takes
    # fields of any type.
    def test_a_command_that_could_not_be_read_back_is_not_encoded(self) -> None:
        for command in (
            NameVersion("m", None, 2),  # type: ignore[arg-type]
            NameVersion(5, "", 2),  # type: ignore[arg-type]
            NameVersion("\udcff", "", 2),
            NameVersion("m", "", 2**70),
            PutDocument(3, "text"),  # type: ignore[arg-type]
        ):
            with self.subTest(command=repr(command)), self.assertRaises(UnreadableCommand):
                encode_command(command)
