"""The collector of the fleet accounts: rounds of requests, and replies that arrive late."""

from types import SimpleNamespace

from corkgauge.leases.accounts_messages import AccountReply, AccountsDatagram
from corkgauge.leases.fleet_accounts import ALL_COUNTS
from corkgauge.leases.fleet_accounts_collector import FleetAccountsCollector

LEASE = "books"


def account(taken):
    """Return the account of an instance that has served all its requests, one attempt each."""
    counts = dict.fromkeys(("taken", "served", "handed", "engines", "ended"), taken)
    return {"epoch": "x", **dict.fromkeys(ALL_COUNTS, 0), **counts}


class Holder:
    """A collector that can gain its lease, with one other member."""

    def __init__(self):
        self.sent = []
        self.candidate = SimpleNamespace(fencing_token=0, may_act=lambda: True)
        member_list = SimpleNamespace(
            codec=SimpleNamespace(incarnation=1),
            list_present_members=lambda: [SimpleNamespace(name="n2")],
            call=lambda name, subject, body: self.sent.append(body),
        )
        service = SimpleNamespace(
            name="n1",
            member_list=member_list,
            candidates={LEASE: self.candidate},
            event_loop=SimpleNamespace(now=0, call_later=lambda *_: None),
        )
        self.collector = FleetAccountsCollector(service, LEASE, 10)
        self.collector.build_own_account = lambda: account(0)

    def gain_lease(self, fencing_token):
        """Gain the lease, which begins a round; return the number that replies must repeat."""
        self.candidate.fencing_token = fencing_token
        self.collector.on_lease_gained()
        return AccountsDatagram.decode(self.sent[-1]).round_number

    def receive(self, number, taken):
        """Receive a reply of the other member."""
        datagram = AccountReply(LEASE, number, account(taken)).encode()
        self.collector.on_datagram("n2", AccountsDatagram.decode(datagram))


def test_reply_delayed_past_the_loss_of_the_lease_is_no_reply_to_a_later_round():
    # Guards against "fleet out of balance": counts that seem to decrease in a fleet that balances.
    holder = Holder()
    earlier_number = holder.gain_lease(7)
    number = holder.gain_lease(9)
    holder.receive(number, taken=119)
    holder.receive(earlier_number, taken=46)
    assert holder.collector.accounts.decreased_counts == []
    assert holder.collector.accounts.accounts["n2"]["x"]["taken"] == 119
