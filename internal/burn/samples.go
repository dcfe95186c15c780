package burn

import (
	"io/fs"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/windscale/windscale/internal/core/burn"
)

// samplesMode lets only the operator read the file.
const samplesMode = 0o600

// Load reads the history kept in file; a file that is not there is an empty
// history.
func Load(file string) (*burn.History, error) {
	b, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return burn.New(), nil
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	var s burn.HistoryState
	if err := decoder.Unmarshal(b, &s); err != nil {
		return nil, errors.Annotatef(err, "samples file %s", file)
	}
	return burn.Restore(s), nil
}

// Save writes the history to file, whole or not at all.
func Save(file string, h *burn.History) error {
	b, err := encoder.Marshal(h.State())
	if err != nil {
		return errors.Trace(err)
	}
	tmp, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.Remove(tmp.Name()) // fails once it is renamed
	if err := writeAll(tmp, b); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(tmp.Name(), file))
}

func writeAll(f *os.File, b []byte) error {
	defer f.Close()
	if err := f.Chmod(samplesMode); err != nil {
		return err
	}
	if _, err := f.Write(b); err != nil {
		return err
	}
	return f.Sync()
}

// maxItems bounds a map or list of the file.
const maxItems = 1 << 20

var (
	encoder = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	decoder = must(cbor.DecOptions{MaxMapPairs: maxItems, MaxArrayElements: maxItems}.DecMode())
)

// must is for options that are constant.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
