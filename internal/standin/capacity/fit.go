package capacity

import "gonum.org/v1/gonum/mat"

// Fit is a linear function that is fitted to measured points: Base + PerDaemon*daemons + PerVM*VMs +
// PerProbe*VMs/daemons. It has these terms because the daemons divide the probes among them, and each keeps the reports of
// all VMs.
type Fit struct {
	Base      float64
	PerDaemon float64
	PerVM     float64
	PerProbe  float64
}

// NewFit returns the least-squares fit of the value that the function returns for each point.
func NewFit(pnts []Point, value func(Point) float64) (Fit, error) {
	rows := mat.NewDense(len(pnts), 4, nil)
	vals := mat.NewVecDense(len(pnts), nil)
	for idx, pnt := range pnts {
		rows.SetRow(idx, []float64{1, float64(pnt.Daemons), float64(pnt.VMs), pnt.probesPerDaemon()})
		vals.SetVec(idx, value(pnt))
	}
	var res mat.VecDense
	if err := res.SolveVec(rows, vals); err != nil {
		return Fit{}, err
	}
	return Fit{
		Base:      res.AtVec(0),
		PerDaemon: res.AtVec(1),
		PerVM:     res.AtVec(2),
		PerProbe:  res.AtVec(3),
	}, nil
}

// At returns the fitted value for a size.
func (fit Fit) At(siz Size) float64 {
	return fit.Base + fit.PerDaemon*float64(siz.Daemons) + fit.PerVM*float64(siz.VMs) + fit.PerProbe*siz.probesPerDaemon()
}

// probesPerDaemon is the number of VMs that a daemon probes.
func (siz Size) probesPerDaemon() float64 {
	return float64(siz.VMs) / float64(siz.Daemons)
}
