// Package version says which build of windscale a program is.
package version

import "runtime/debug"

// String returns the module version that the build recorded, "devel" for a
// build out of a work tree.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return "devel"
	}
	return info.Main.Version
}
