// Package rendezvous ranks members for a key by rendezvous hashing (highest random weight): all who
// know the same members get the same order, and it changes little when a member comes or goes.
package rendezvous

// Score returns the score of a member for a key, both given by 64-bit hashes; the highest score ranks
// first. The finaliser is that of the 64-bit variant of MurmurHash3.
func Score(member, key uint64) uint64 {
	h := member ^ key*0x9e3779b97f4a7c15
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
