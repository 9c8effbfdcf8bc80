package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// ErrInvalid means that a document does not parse or violates a rule; the text states the location and the reason.
const ErrInvalid = errors.ConstError("document: invalid")

// MaxSize is the maximum size in bytes of a document that Parse accepts.
const MaxSize = 16 << 20

// Parse parses and validates a YAML document. Errors contain name and, for syntax errors, the line, the column and the
// reason.
func Parse(name string, data []byte) (*Document, error) {
	if len(data) > MaxSize {
		return nil, errors.Annotatef(ErrInvalid, "%s: more than %d bytes", name, MaxSize)
	}
	if nestingDepth(data) > maxNesting {
		return nil, errors.Annotatef(ErrInvalid, "%s: brackets are nested deeper than %d", name, maxNesting)
	}
	var doc Document
	if err := decode(data, &doc); err != nil {
		return nil, errors.Annotatef(ErrInvalid, "%s: %s", name, truncateLines(strings.TrimSpace(yaml.FormatError(err, false, true))))
	}
	if err := doc.checkReferences(); err != nil {
		return nil, errors.Annotatef(ErrInvalid, "%s: %v", name, err)
	}
	return &doc, nil
}

// maxLineLength is the number of characters of each line that an error message shows.
const maxLineLength = 200

// truncateLines truncates the long lines of an error message, which quotes the document.
func truncateLines(text string) string {
	lines := strings.Split(text, "\n")
	for idx, line := range lines {
		if chrs := []rune(line); len(chrs) > maxLineLength {
			lines[idx] = string(chrs[:maxLineLength]) + "..."
		}
	}
	return strings.Join(lines, "\n")
}

// maxNesting bounds the nesting depth of brackets. The parse time of the YAML library grows with the square of the
// depth: 100,000 open brackets took 33 s. A document needs three levels; brackets within strings count too.
const maxNesting = 100

// nestingDepth returns the maximum number of brackets that are open at the same position.
func nestingDepth(data []byte) int {
	depth, most := 0, 0
	for _, chr := range data {
		switch chr {
		case '[', '{':
			depth++
			most = max(most, depth)
		case ']', '}':
			depth = max(0, depth-1)
		}
	}
	return most
}

// decode decodes YAML strictly. The library panics on some malformed texts; decode returns such a panic as an error.
func decode(data []byte, doc *Document) (err error) {
	defer func() {
		if val := recover(); val != nil {
			err = fmt.Errorf("the YAML is malformed: %v", val)
		}
	}()
	return yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.Validator(validator.New())).Decode(doc)
}

// checkReferences checks that the models and zones that groups refer to are in the document.
func (doc *Document) checkReferences() error {
	zones := map[string]bool{}
	for _, azn := range doc.AvailabilityZones {
		zones[azn.Name] = true
	}
	models := map[string]bool{}
	for _, mod := range doc.Models {
		models[mod.Name] = true
	}
	for _, grp := range doc.Groups {
		if !zones[grp.AvailabilityZone] {
			return fmt.Errorf("group %s: availability zone %s is not in the document", grp.Name, grp.AvailabilityZone)
		}
		if !models[grp.Model] {
			return fmt.Errorf("group %s: model %s is not in the document", grp.Name, grp.Model)
		}
	}
	return nil
}

// Part is one named entry of a document, addressed by the digest of its content.
type Part struct {
	// Name is the section and the name of the entry, such as "Models/lap-recipes".
	Name string
	// Digest is the hexadecimal SHA-256 hash of Value.
	Digest string
	// Value is the entry in JSON.
	Value []byte
}

// Parts splits the document into one part for each entry. The parts are ordered by name, so that documents that differ
// only in the order of their entries have the same digest.
func (doc *Document) Parts() []Part {
	var pts []Part
	pts = appendParts(pts, "AvailabilityZones", doc.AvailabilityZones, func(val AvailabilityZone) string { return val.Name })
	pts = appendParts(pts, "Models", doc.Models, func(val Model) string { return val.Name })
	pts = appendParts(pts, "Groups", doc.Groups, func(val Group) string { return val.Name })
	pts = appendParts(pts, "Services", doc.Services, func(val Service) string { return val.Name })
	pts = appendParts(pts, "Workspaces", doc.Workspaces, func(val Workspace) string { return val.Name })
	pts = appendParts(pts, "ServiceLevels", doc.ServiceLevels, func(val ServiceLevel) string { return val.Name })
	sort.Slice(pts, func(fst, snd int) bool { return pts[fst].Name < pts[snd].Name })
	return pts
}

func appendParts[T any](pts []Part, section string, entries []T, name func(T) string) []Part {
	for _, ent := range entries {
		// Marshaling structs of strings, finite numbers and slices cannot fail.
		val, _ := json.Marshal(ent)
		pts = append(pts, Part{
			Name:   section + "/" + name(ent),
			Digest: digest(val),
			Value:  val,
		})
	}
	return pts
}

// Digest returns the digest of a document: the hexadecimal SHA-256 hash of the names and digests of its parts, in the
// order of Parts.
func Digest(pts []Part) string {
	hsh := sha256.New()
	for _, prt := range pts {
		fmt.Fprintf(hsh, "%s %s\n", prt.Name, prt.Digest)
	}
	return hex.EncodeToString(hsh.Sum(nil))
}

// Join assembles a document from its parts and checks the digest of each part.
func Join(pts []Part) (*Document, error) {
	doc := &Document{}
	for _, prt := range pts {
		if digest(prt.Value) != prt.Digest {
			return nil, errors.Annotatef(ErrInvalid, "part %s: content does not match its digest", prt.Name)
		}
		section, _, _ := strings.Cut(prt.Name, "/")
		if err := doc.add(section, prt.Value); err != nil {
			return nil, errors.Annotatef(ErrInvalid, "part %s: %v", prt.Name, err)
		}
	}
	return doc, nil
}

func (doc *Document) add(section string, value []byte) error {
	switch section {
	case "AvailabilityZones":
		return appendEntry(&doc.AvailabilityZones, value)
	case "Models":
		return appendEntry(&doc.Models, value)
	case "Groups":
		return appendEntry(&doc.Groups, value)
	case "Services":
		return appendEntry(&doc.Services, value)
	case "Workspaces":
		return appendEntry(&doc.Workspaces, value)
	case "ServiceLevels":
		return appendEntry(&doc.ServiceLevels, value)
	default:
		return fmt.Errorf("unknown section")
	}
}

func appendEntry[T any](entries *[]T, value []byte) error {
	var ent T
	if err := json.Unmarshal(value, &ent); err != nil {
		return err
	}
	*entries = append(*entries, ent)
	return nil
}

func digest(val []byte) string {
	sum := sha256.Sum256(val)
	return hex.EncodeToString(sum[:])
}
