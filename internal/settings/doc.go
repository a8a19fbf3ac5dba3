// Package settings reads the settings file of a VM, an INI file that its
// processes share. Every key has a default or is required, and unknown keys are
// errors. WriteDefault writes a commented file with all defaults.
package settings
