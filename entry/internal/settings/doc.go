// Package settings reads the INI file of an entry and checks every key of it.
//
// One table lists the keys; reading, checking and the reference page for
// operators all come from it:
//
//	s, err := settings.Read("entry.ini")
//	if err != nil {
//		// Every problem, each with file, section, key and what would be right.
//	}
package settings
