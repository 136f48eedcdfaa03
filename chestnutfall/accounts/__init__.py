"""What a process holds for its peers, and who gives way when that is too much.

Everything here decides without a network: connections, bodies and answers draw from the account and
tell it whether they may give way.
"""

from .account_full import AccountFull
from .byte_turns import ByteTurns
from .descriptor_account import DescriptorAccount
from .holder import Holder
from .memory_account import MemoryAccount
from .peers import Peer, Peers
from .process_account import ProcessAccount, open_account
from .reading_turns import ReadingTurns

__all__ = [
    "AccountFull",
    "ByteTurns",
    "DescriptorAccount",
    "Holder",
    "MemoryAccount",
    "Peer",
    "Peers",
    "ProcessAccount",
    "ReadingTurns",
    "open_account",
]
