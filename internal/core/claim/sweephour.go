package claim

// The steps of a sweep from the cursor to an hour's writers, and its end.

// seeCursor begins with the first hour that is not swept.
func (s *Sweep) seeCursor(row Stored) error {
	c := Cursor{}
	if err := row.decode(&c); err != nil {
		return err
	}
	s.cursor, s.from, s.hour = row, c.Hour, c.Hour
	s.step = readManifests
	if row.Version == 0 { // nothing was ever claimed
		s.from = never
	}
	return nil
}

// seeManifests collects the hour's writers, or passes on to the next hour.
func (s *Sweep) seeManifests(now int64, rows []Stored) error {
	if s.swept.Hour != s.hour {
		s.swept = Swept{Hour: s.hour}
	}
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		var m Manifest
		if row.decode(&m) != nil {
			s.unreadable(row)
			m = Manifest{}
		}
		s.manifests = append(s.manifests, row)
		s.unread = append(s.unread, m.Writers...)
	}
	if len(s.manifests) > 0 {
		s.step = readFirst
		return nil
	}
	if due(now, s.hour+1) && s.hour < s.from+maxSkip {
		s.hour++
		return nil
	}
	return s.endHour()
}

// unreadable notes a row that can't be decoded.
func (s *Sweep) unreadable(row Stored) {
	s.swept.Unreadable = append(s.swept.Unreadable, row.Key)
}

// endHour moves the cursor behind the hour and deletes its manifests.
func (s *Sweep) endHour() error {
	moved, err := s.cursor.replace(Cursor{Hour: s.hour + 1})
	if err != nil {
		return err
	}
	s.commit = []Change{moved}
	for _, m := range s.manifests {
		s.commit = append(s.commit, m.remove())
	}
	s.step = commitHour
	return nil
}

// firstPages are those of the next unread writers.
func (s *Sweep) firstPages() []string {
	var keys []string
	for _, w := range s.unread[:min(len(s.unread), sweepRows)] {
		keys = append(keys, pageKey(s.hour, w, 0))
	}
	return keys
}

// seeFirst keeps the writers that have pages. One that has none is done, or died
// before it wrote any.
func (s *Sweep) seeFirst(rows []Stored) {
	for i, row := range rows {
		if row.Version != 0 {
			s.writers = append(s.writers, s.unread[i])
		}
	}
	s.unread = s.unread[len(rows):]
	s.nextWriter()
}

// nextWriter goes on with a writer that has pages, or looks for more of them.
func (s *Sweep) nextWriter() {
	switch {
	case len(s.writers) > 0:
		s.low, s.high = 0, 1<<maxPageBits
		s.step = readLast
	case len(s.unread) > 0:
		s.step = readFirst
	default:
		if s.endHour() != nil { // does not happen: a cursor can be encoded
			s.Failed()
		}
	}
}
