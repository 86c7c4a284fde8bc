package baymoor.scale.fit;

import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.linear.Array2DRowRealMatrix;
import org.apache.commons.math3.linear.QRDecomposition;
import org.apache.commons.math3.linear.RealMatrix;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;

/**
 * A least squares regression with an intercept: coefficients, their confidence intervals and residuals. Residuals are
 * relative to the measured value, as the noise of a run grows with what it measures and predictions are judged in percent:
 * each row is divided by its value, and the rows are fitted by ordinary least squares.
 */
final class LeastSquares {

    static final double CONFIDENCE = 0.95;
    /** The confidence that a coefficient is not 0 from which it counts as certain. */
    private static final double CERTAIN = 0.99;
    /** Values under this part of the greatest one weigh no more than it, so that a value of 0 can be fitted. */
    private static final double LEAST_PART = 0.02;
    /** Columns closer to dependent than this (relative, after scaling) can't be told apart by the data. */
    private static final double SINGULAR = 1e-9;

    private final double[] scales;
    private final double[] coefficients;
    private final double[] errors;
    private final double quantile;
    private final double certainQuantile;
    private final double residualError;
    private final double press;

    private LeastSquares(double[][] design, double[] values, double[] scales) {
        this.scales = scales;
        OLSMultipleLinearRegression regression = new OLSMultipleLinearRegression();
        regression.setNoIntercept(true); // the intercept is a column of the design, weighted like the others
        regression.newSampleData(values, design);
        coefficients = regression.estimateRegressionParameters();
        errors = regression.estimateRegressionParametersStandardErrors();
        residualError = regression.estimateRegressionStandardError();
        TDistribution distribution = new TDistribution(values.length - scales.length);
        quantile = distribution.inverseCumulativeProbability((1 + CONFIDENCE) / 2);
        certainQuantile = distribution.inverseCumulativeProbability((1 + CERTAIN) / 2);
        press = press(regression.estimateResiduals(), regression.calculateHat());
    }

    /**
     * Fits {@code values} to an intercept and the columns of {@code predictors}.
     *
     * @return null where there are too few rows for an interval, or a column depends on the others
     */
    static LeastSquares fit(double[][] predictors, double[] values) {
        int columns = predictors[0].length + 1;
        if (values.length <= columns) {
            return null;
        }
        double[] scales = scales(predictors);
        double[] weights = weights(values);
        double[][] design = new double[values.length][columns];
        double[] weighted = new double[values.length];
        for (int r = 0; r < values.length; r++) {
            weighted[r] = values[r] * weights[r];
            design[r][0] = weights[r];
            for (int c = 1; c < columns; c++) {
                design[r][c] = weights[r] * predictors[r][c - 1] / scales[c];
            }
        }
        return dependent(design) ? null : new LeastSquares(design, weighted, scales);
    }

    /** What each column is divided by to be near 1: 1 for the intercept, then the greatest of each predictor. */
    private static double[] scales(double[][] predictors) {
        double[] scales = new double[predictors[0].length + 1];
        scales[0] = 1;
        for (int c = 1; c < scales.length; c++) {
            for (double[] row : predictors) {
                scales[c] = Math.max(scales[c], Math.abs(row[c - 1]));
            }
            scales[c] = scales[c] == 0 ? 1 : scales[c];
        }
        return scales;
    }

    private static double[] weights(double[] values) {
        double greatest = 0;
        for (double value : values) {
            greatest = Math.max(greatest, Math.abs(value));
        }
        double[] weights = new double[values.length];
        for (int r = 0; r < values.length; r++) {
            weights[r] = greatest == 0 ? 1 : 1 / Math.max(Math.abs(values[r]), LEAST_PART * greatest);
        }
        return weights;
    }

    private static boolean dependent(double[][] design) {
        RealMatrix matrix = new Array2DRowRealMatrix(design);
        RealMatrix unit = matrix.scalarMultiply(1 / matrix.getFrobeniusNorm());
        return !new QRDecomposition(unit, SINGULAR).getSolver().isNonSingular();
    }

    /** The prediction sum of squares: each residual as it would be had its row been left out of the fit. */
    private static double press(double[] residuals, RealMatrix hat) {
        double sum = 0;
        for (int r = 0; r < residuals.length; r++) {
            double leverage = Math.min(hat.getEntry(r, r), 1 - SINGULAR);
            sum += Math.pow(residuals[r] / (1 - leverage), 2);
        }
        return sum;
    }

    double intercept() {
        return coefficients[0];
    }

    /** Half the width of the intercept's confidence interval. */
    double interceptInterval() {
        return quantile * errors[0];
    }

    /** The slope by the predictor of that column, the first being 0. */
    double slope(int column) {
        return coefficients[column + 1] / scales[column + 1];
    }

    /** Half the width of a slope's confidence interval. */
    double slopeInterval(int column) {
        return quantile * errors[column + 1] / scales[column + 1];
    }

    /** Whether a slope differs from 0 with 99% confidence. */
    boolean certain(int column) {
        return Math.abs(coefficients[column + 1]) > certainQuantile * errors[column + 1];
    }

    /** The standard deviation of the relative residuals. */
    double residualError() {
        return residualError;
    }

    /** The sum of squares of the relative residuals of rows left out of the fit. */
    double press() {
        return press;
    }

    /** Whether what is left unexplained is no more than rounding. */
    boolean exact() {
        return press <= SINGULAR * SINGULAR;
    }

    double predict(double[] row) {
        double sum = coefficients[0];
        for (int c = 0; c < row.length; c++) {
            sum += slope(c) * row[c];
        }
        return sum;
    }
}
