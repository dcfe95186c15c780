package fleet

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// writeFiles writes the routers' INI files, the settings and the token.
func (f *Fleet) writeFiles(context.Context) error {
	files := map[string]string{
		"admin.token":  adminToken + "\n",
		"settings.ini": f.SettingsINI(f.Settings),
	}
	for _, r := range f.Routers {
		files[r.ID+".ini"] = f.routerINI(r)
	}
	for name, body := range files {
		if err := os.WriteFile(f.path(name), []byte(body), 0o600); err != nil {
			return fail(err, "write %s", name)
		}
	}
	return nil
}

// routerINI returns the router's own file; all other routers are its seeds.
func (f *Fleet) routerINI(r *Router) string {
	var seeds []string
	for _, o := range f.Routers {
		if o != r {
			seeds = append(seeds, o.ID+"@"+o.Link)
		}
	}
	sharing := ""
	if f.Sharing != "" {
		sharing = "sharing = " + f.Sharing + "\n"
	}
	return fmt.Sprintf(`[router]
id = %s
data_centre = %s
entry = %s
link = %s
admin = %s
admin_token_file = %s
faults = true
%s
[platform]
url = %s

[tls]
ca = %s
cert = %s
key = %s

[seeds]
routers = %s

[log]
format = text
level = info
`, r.ID, r.DataCentre, r.Entry, r.Link, r.Admin, f.path("admin.token"), sharing, f.URL,
		f.path("tls/ca.pem"), f.path("tls/"+r.ID+".pem"), f.path("tls/"+r.ID+"-key.pem"),
		strings.Join(seeds, ", "))
}

// SettingsINI returns the whole settings: the sections given, then one for
// each customer.
func (f *Fleet) SettingsINI(sections string) string {
	var b strings.Builder
	b.WriteString(sections)
	for _, c := range f.Customers {
		fmt.Fprintf(&b, "\n[tree/%s]\nkeys = %x\n%s\n", c.Path, sha256.Sum256([]byte(c.Key())), c.Values)
	}
	return b.String()
}

// applySettings makes the configured settings the first version.
func (f *Fleet) applySettings(ctx context.Context) error {
	_, err := f.Apply(ctx, f.Settings, true)
	return err
}

// Apply makes the sections, and the customers', the settings. It returns how
// long that took, with wait until they were in force on every live router.
func (f *Fleet) Apply(ctx context.Context, sections string, wait bool) (time.Duration, error) {
	path := f.path("settings.ini")
	if err := os.WriteFile(path, []byte(f.SettingsINI(sections)), 0o600); err != nil {
		return 0, fail(err, "write the settings")
	}
	args := []string{"settings", "apply", "--editor", "trial", "--base", strconv.FormatUint(f.version, 10), path}
	if !wait {
		args = append(args, "--wait", "0s")
	}
	began := time.Now()
	err := f.Ctl(ctx, args...)
	if err == nil {
		f.version++
	}
	return time.Since(began), err
}

// Settled says whether all routers are ready with the same version of the
// settings, which is none below the latest known to be accepted.
func (f *Fleet) Settled(ctx context.Context) bool {
	var first uint64
	for i, r := range f.Routers {
		s, err := r.Status(ctx)
		if err != nil || !s.Ready || s.SettingsVersion < f.version {
			return false
		}
		if i == 0 {
			first = s.SettingsVersion
		}
		if s.SettingsVersion != first {
			return false
		}
	}
	f.version = first
	return true
}

// CtlArgs are the options that windscalectl needs for this fleet.
func (f *Fleet) CtlArgs() []string {
	return []string{"--platform", f.URL, "--admin-token-file", f.path("admin.token")}
}

// Ctl runs windscalectl; its output goes to ctl.log.
func (f *Fleet) Ctl(ctx context.Context, args ...string) error {
	return f.run(ctx, "ctl", "windscalectl", append(f.CtlArgs(), args...)...)
}
