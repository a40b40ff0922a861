"""Base classes of the errors that the program raises on purpose."""


class CorkgaugeError(Exception):
    """Base class; the message names the place, what was expected and what was found."""


class ConfigurationError(CorkgaugeError):
    """A configuration file or key is faulty; the message is one line."""


class CorruptedFileError(CorkgaugeError, ValueError):
    """A file of the program is incomplete, damaged, or belongs to another program or instance."""


class ProtocolError(CorkgaugeError, ValueError):
    """A peer sent data that its protocol does not allow."""
