// Package settings reads the INI file of an entry and checks every key in it.
//
// A single table defines the keys. It is used to read and check the file, and to
// write the reference page for operators:
//
//	s, err := settings.Read("entry.ini")
//	if err != nil {
//		// err joins all problems, each with the file, section, key and expected value.
//	}
//	fmt.Println(s.Name(), s.Caller())
package settings
