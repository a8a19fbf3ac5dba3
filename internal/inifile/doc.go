// Package inifile parses INI text strictly. A section header is "[kind]" or
// "[kind name]". Duplicate sections, duplicate keys, unknown keys and invalid
// values are errors that name the file, line, section, key and a fix. All
// problems of a file are reported together.
package inifile
