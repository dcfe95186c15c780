package claim

// The steps of a sweep over the pages of one writer, from the last to the first.

// lastPageProbes returns the keys of the pages to read in the search for the last
// one: powers of two in the first round, then one page per round by bisection.
// This works because the page numbers of a writer have no gaps.
func (s *Sweep) lastPageProbes() []string {
	s.probes = []int{(s.low + s.high) / 2}
	if s.low == 0 && s.high == 1<<maxPageBits {
		for bit := range maxPageBits - 1 {
			s.probes = append(s.probes, 1<<bit)
		}
	}
	keys := make([]string, len(s.probes))
	for i, p := range s.probes {
		keys[i] = pageKey(s.hour, s.writers[0], p)
	}
	return keys
}

// narrowLastPage narrows the range that contains the last page.
func (s *Sweep) narrowLastPage(rows []StoredRow) {
	for i, row := range rows {
		if row.Version == 0 {
			s.high = min(s.high, s.probes[i])
			continue
		}
		s.low = max(s.low, s.probes[i])
	}
	if s.high-s.low <= 1 {
		s.step = readPage
	}
}

// handlePage stores the claims that the page lists.
func (s *Sweep) handlePage(row StoredRow) {
	if row.Version == 0 { // deleted by a concurrent sweep
		s.Failed()
		return
	}
	var p Page
	if row.decode(&p) != nil {
		s.addUnreadable(row)
		p = Page{}
	}
	s.page, s.claims = row, p.Keys
	s.step = readClaims
	if len(s.claims) == 0 {
		s.commit, s.deletedClaims = []Change{row.remove()}, 0
		s.step = commitClaims
	}
}

// claimBatch returns the keys of the page's next batch of claims.
func (s *Sweep) claimBatch() []string {
	var keys []string
	for _, key := range s.claims[:min(len(s.claims), maxSweepRows)] {
		keys = append(keys, string(key))
	}
	return keys
}

// handleClaims selects the claims to delete. A key that was claimed again, with a
// later retention time, is kept here; the page written with the later claim lists
// it too.
func (s *Sweep) handleClaims(now int64, rows []StoredRow) {
	s.claims, s.commit, s.deletedClaims = s.claims[len(rows):], nil, 0
	seen := map[string]bool{}
	for _, row := range rows {
		if row.Version == 0 || seen[row.Key] {
			continue
		}
		seen[row.Key] = true
		claimed, err := Decode(row.Value)
		switch {
		case err != nil || claimed == nil:
			s.addUnreadable(row)
		case now <= claimed.RetainUntil+GracePeriod.Milliseconds():
			s.result.Kept++
		default:
			s.commit = append(s.commit, row.remove())
			s.deletedClaims++
		}
	}
	if len(s.claims) == 0 {
		s.commit = append(s.commit, s.page.remove())
	}
	s.step = commitClaims
	if len(s.commit) == 0 {
		s.continuePage()
	}
}

// continuePage continues with the next batch of claims of the page, the previous
// page or the next writer.
func (s *Sweep) continuePage() {
	s.commit = nil
	switch {
	case len(s.claims) > 0:
		s.step = readClaims
	case s.low > 0:
		s.low--
		s.step = readPage
	default:
		s.writers = s.writers[1:]
		s.nextWriter()
	}
}
