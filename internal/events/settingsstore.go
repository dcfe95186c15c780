package events

// The events of the settings.
var (
	SettingsTaken     = Event{201, "settings in force"}
	SettingsRefused   = Event{202, "settings offer refused"}
	SettingsStoreDown = Event{203, "settings store unreadable"}
	SettingsStoreBack = Event{204, "settings store readable again"}
	SettingsPeersMute = Event{205, "no settings from peers"}
)
