// Package testdata embeds the small corpus written for this project, so that
// the demonstration and the tests need no files beside the program.
//
// cues holds SubRip files in English, Amharic and Oromo; cards holds the card
// histories of three absorbed companies. All names and numbers are invented.
package testdata

import "embed"

// Corpus holds the directories "cues" and "cards".
//
//go:embed cues/*.srt cards/*.csv
var Corpus embed.FS
