"""What is passed on: the last word on each fellow, each told a bounded number of times.

Owns which words are still told, and how often each was. Free of I/O. Must never hold more than one word on a
fellow, and must let every word die out.
"""

from heapq import nsmallest
from math import ceil, log2
from typing import Any

TIMES = 3  # over the logarithm of the number of fellows: how often a word is told


class GossipQueue:
    """
    >>> rumours = GossipQueue()
    >>> rumours.tell("a", ("a", 1))
    >>> rumours.tell("b", ("b", 1))
    >>> rumours.tell("a", ("a", 2))
    >>> rumours.some(2, 1, lambda word: 1)
    [('b', 1)]
    >>> rumours.some(2, 1, lambda word: 1)
    [('a', 2)]
    >>> [len(rumours.some(2, 9, lambda word: 1)) for _ in range(7)]
    [2, 2, 2, 2, 2, 0, 0]
    """

    def __init__(self) -> None:
        self.words: dict[str, tuple[int, int, Any]] = {}  # told so often, in this order, the word
        self.serial = 0

    def tell(self, name: str, word: Any) -> None:
        """The last word on a fellow; it takes the place of an earlier one."""
        self.words.pop(name, None)
        self.words[name] = (0, self.serial, word)
        self.serial += 1

    def forget(self, names: Any) -> None:
        """Only these are fellows still."""
        self.words = {name: said for name, said in self.words.items() if name in names}

    def some(self, members: int, room: int, size: Any, first: str = "") -> list[Any]:
        """The least told ones that fit into so much room, `first`'s own before all; each told once more."""
        most = TIMES * ceil(log2(members + 1))
        found = []
        # Danger: the word on the one we speak to must reach it, or it never hears that it is accused.
        order = nsmallest(64, self.words.items(), key=lambda item: (item[0] != first, item[1][:2]))
        for name, (told, serial, word) in order:
            room -= size(word)
            if room < 0:
                break
            found.append(word)
            if told + 1 >= most:
                del self.words[name]
            else:
                self.words[name] = told + 1, serial, word
        return found
