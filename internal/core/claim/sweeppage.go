package claim

// The steps of a sweep over one writer's pages, from the last to the first.

// probePages are the pages that bracket the last one: first by powers of two,
// then by halves. A writer's pages are numbered without gaps.
func (s *Sweep) probePages() []string {
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

// seeLast narrows the bracket of the last page.
func (s *Sweep) seeLast(rows []Stored) {
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

// seePage takes the claims that a page names.
func (s *Sweep) seePage(row Stored) {
	if row.Version == 0 { // another sweep was faster
		s.Failed()
		return
	}
	var p Page
	if row.decode(&p) != nil {
		s.unreadable(row)
		p = Page{}
	}
	s.page, s.claims = row, p.Keys
	s.step = readClaims
	if len(s.claims) == 0 {
		s.commit, s.deletes = []Change{row.remove()}, 0
		s.step = commitClaims
	}
}

// someClaims are the next ones of the page.
func (s *Sweep) someClaims() []string {
	var keys []string
	for _, k := range s.claims[:min(len(s.claims), sweepRows)] {
		keys = append(keys, string(k))
	}
	return keys
}

// seeClaims decides which claims go. One that was taken again is named by a later
// page too, and left to that.
func (s *Sweep) seeClaims(now int64, rows []Stored) {
	s.claims, s.commit, s.deletes = s.claims[len(rows):], nil, 0
	seen := map[string]bool{}
	for _, row := range rows {
		if row.Version == 0 || seen[row.Key] {
			continue
		}
		seen[row.Key] = true
		claimed, err := Decode(row.Value)
		switch {
		case err != nil || claimed == nil:
			s.unreadable(row)
		case now <= claimed.Keep+Grace.Milliseconds():
			s.swept.Kept++
		default:
			s.commit = append(s.commit, row.remove())
			s.deletes++
		}
	}
	if len(s.claims) == 0 {
		s.commit = append(s.commit, s.page.remove())
	}
	s.step = commitClaims
	if len(s.commit) == 0 {
		s.afterClaims()
	}
}

// afterClaims goes on with the page's next claims, or the page before, or the
// next writer.
func (s *Sweep) afterClaims() {
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
