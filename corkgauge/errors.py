"""The errors that the program raises on purpose: one small tree, named by what went wrong."""


class CorkgaugeError(Exception):
    """Any error of this program; its message says what went wrong, where, and what was expected."""


class ConfigurationError(CorkgaugeError):
    """A configuration file or key is faulty. One line: where, what was expected, what was found."""


class CorruptedFileError(CorkgaugeError, ValueError):
    """A file that the program wrote itself is torn, damaged, or another one's."""


class ProtocolError(CorkgaugeError, ValueError):
    """A peer sent what its protocol does not allow."""
