"""Validates and applies changed lease settings of the operator file."""

from typing import TYPE_CHECKING

from corkgauge.config.operator_file import LeaseConfig
from corkgauge.config.platform import ConfigurationError
from corkgauge.leases.voter_configuration import (
    LeaseTiming,
    UnsafeChangeError,
    VoterConfiguration,
)

if TYPE_CHECKING:
    from corkgauge.leases.service import LeaseService

REMOVED = "removed from the operator file"  # reason of a release, in the log


def read_lease_settings(settings: LeaseConfig) -> tuple[VoterConfiguration, LeaseTiming]:
    """Return the voter configuration and the lease timing of an operator file.

    Raises ConfigurationError if they are invalid.
    """
    try:
        return (
            VoterConfiguration(settings.version, settings.voters, settings.lease_ticks),
            LeaseTiming(
                settings.lease_ticks,
                settings.max_clock_drift,
                settings.margin_ticks,
                settings.max_lease_ticks,
            ),
        )
    except UnsafeChangeError as error:
        raise ConfigurationError(f"duties: {error}") from None


def reload_settings(service: "LeaseService", settings: LeaseConfig) -> None:
    """Apply a changed voter configuration, changed lease times, or a changed set of leases.

    Raises ConfigurationError, and changes nothing, if the change is unsafe.
    """
    configuration, timing = read_lease_settings(settings)
    _check_change(service, configuration)
    if settings.folder != service.settings.folder:
        service.log("operator file: duties folder changed, in force after a restart")
    if configuration != service.configuration:
        names = " ".join(configuration.names)
        service.log(f"duties: list {configuration.version} of voters in force, {names}")
    service.configuration = configuration
    service.timing = timing
    service.settings = settings
    service.voter.reconfigure(configuration, timing)
    for name in service.owners:
        service.candidates[name].reconfigure(configuration, timing)
    remove_unconfigured_leases(service)
    _apply_configured_leases(service)


def _check_change(service: "LeaseService", configuration: VoterConfiguration) -> None:
    current = service.configuration
    own_report = {service.name: (current.version, current.fingerprint)}
    try:
        current.check_change_to(configuration, service.reported_configurations | own_report)
    except UnsafeChangeError as error:
        raise ConfigurationError(f"duties: {error}") from None


def remove_unconfigured_leases(service: "LeaseService") -> None:
    """Release the leases that were removed from the operator file.

    A lease that is lent to a command stays until that command has ended. Leases of other subsystems
    are never named in the operator file, and stay.
    """
    named = {name for name, *_ in service.settings.leases}
    for name in [*service.candidates]:
        if name in named or name in service.owners:
            continue
        if service.command_loans.is_lent(name):
            service.command_loans.release_when_returned(name, REMOVED)
            continue
        service.candidates.pop(name).retire(REMOVED)
        service.collectors.pop(name, None)
        service.command_loans.forget_lease(name)


def _apply_configured_leases(service: "LeaseService") -> None:
    for name, kind, period_ticks in service.settings.leases:
        if name not in service.candidates:
            service.add_configured_lease(name, kind, period_ticks)
        else:
            service.candidates[name].reconfigure(service.configuration, service.timing)
        if name in service.collectors:
            service.collectors[name].period_ticks = period_ticks
