/**
 * The company that a gatherer keeps: wires what gatherers know together to the node and to peer messaging. The entry point is
 * {@link sprucehold.company.Company}, whose settings are {@link sprucehold.company.CompanyPlan}. It must never decide anything:
 * what is shared, weighed and allowed is decided in {@code sprucehold.together}, and what follows from it in the one module.
 */
package sprucehold.company;
