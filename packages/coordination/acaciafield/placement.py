"""Placement of services on nodes by rendezvous hashing.

Source: Thaler and Ravishankar, "Using name-based mappings to increase
hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import heapq

import xxhash


def rank_nodes(name, node_ids, count):
    """Return the ``count`` best nodes for ``name``, best first.

    >>> rank_nodes("prices", ["a", "b", "c"], 2)
    ['c', 'a']
    """
    return heapq.nlargest(count, node_ids, key=lambda n: _hash_weight(name, n))


def choose_other_node(node_id, node_ids):
    """Return the best node for ``node_id`` among the others, or None.

    >>> choose_other_node("a", ["a"]) is None
    True
    """
    others = [n for n in node_ids if n != node_id]
    ranked = rank_nodes(node_id, others, 1)
    return ranked[0] if ranked else None


def _hash_weight(name, node_id):
    text = "%s|%s" % (name, node_id)
    return (xxhash.xxh3_64_intdigest(text.encode()), node_id)
