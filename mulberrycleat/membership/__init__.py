"""Membership: the hosts of a zone, which of them are alive, and which one runs a shared task."""

from mulberrycleat.membership.members import GossipEntry, Member, MemberHealth, Members
from mulberrycleat.membership.rendezvous import first_by_rank, ranked

__all__ = ["GossipEntry", "Member", "MemberHealth", "Members", "first_by_rank", "ranked"]
