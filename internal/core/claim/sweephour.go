package claim

// The steps of a sweep that read the cursor and the writers of an hour, and that
// finish the hour.

// handleCursor starts with the first unswept hour.
func (s *Sweep) handleCursor(row StoredRow) error {
	c := Cursor{}
	if err := row.decode(&c); err != nil {
		return err
	}
	s.cursor, s.firstUnswept, s.hour = row, c.Hour, c.Hour
	s.step = readManifests
	if row.Version == 0 { // no claim has ever been written
		s.firstUnswept = neverDue
	}
	return nil
}

// handleManifests collects the writers of the hour, or skips to the next hour if
// there are none.
func (s *Sweep) handleManifests(now int64, rows []StoredRow) error {
	if s.result.Hour != s.hour {
		s.result = SweepResult{Hour: s.hour}
	}
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		var m Manifest
		if row.decode(&m) != nil {
			s.addUnreadable(row)
			m = Manifest{}
		}
		s.manifests = append(s.manifests, row)
		s.unchecked = append(s.unchecked, m.Writers...)
	}
	if len(s.manifests) > 0 {
		s.step = readFirstPages
		return nil
	}
	if due(now, s.hour+1) && s.hour < s.firstUnswept+maxSkippedHours {
		s.hour++
		return nil
	}
	return s.finishHour()
}

// addUnreadable records a row that cannot be decoded.
func (s *Sweep) addUnreadable(row StoredRow) {
	s.result.Unreadable = append(s.result.Unreadable, row.Key)
}

// finishHour advances the cursor past the hour and deletes its manifests.
func (s *Sweep) finishHour() error {
	cursorUpdate, err := s.cursor.replace(Cursor{Hour: s.hour + 1})
	if err != nil {
		return err
	}
	s.commit = []Change{cursorUpdate}
	for _, m := range s.manifests {
		s.commit = append(s.commit, m.remove())
	}
	s.step = commitHour
	return nil
}

// firstPageKeys returns the keys of the first pages of the next unchecked writers.
func (s *Sweep) firstPageKeys() []string {
	var keys []string
	for _, w := range s.unchecked[:min(len(s.unchecked), maxSweepRows)] {
		keys = append(keys, pageKey(s.hour, w, 0))
	}
	return keys
}

// handleFirstPages selects the writers that have pages. The pages of a writer
// without any have already been swept, or it ended before writing one.
func (s *Sweep) handleFirstPages(rows []StoredRow) {
	for i, row := range rows {
		if row.Version != 0 {
			s.writers = append(s.writers, s.unchecked[i])
		}
	}
	s.unchecked = s.unchecked[len(rows):]
	s.nextWriter()
}

// nextWriter continues with the next writer that has pages, or with the next
// batch of unchecked writers, or finishes the hour.
func (s *Sweep) nextWriter() {
	switch {
	case len(s.writers) > 0:
		s.low, s.high = 0, 1<<maxPageBits
		s.step = findLastPage
	case len(s.unchecked) > 0:
		s.step = readFirstPages
	default:
		if s.finishHour() != nil { // cannot happen, because a cursor can always be encoded
			s.Failed()
		}
	}
}
